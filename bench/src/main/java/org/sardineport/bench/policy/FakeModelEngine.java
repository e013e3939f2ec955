package org.sardineport.bench.policy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;

import org.sardineport.core.backend.BackendServer;

/**
 * Simulated model engine with continuous batching: each iteration prefills up to one
 * chunk of prompt tokens and generates one token of each sequence that is already
 * prefilled. A small prefix cache evicts the least recently used prefix. Not thread-safe.
 */
final class FakeModelEngine extends AbstractFakeServer {

	/** Greatest number of prompt tokens prefilled in one iteration. */
	private static final int PREFILL_CHUNK_TOKENS = 512;

	/** Capacity of the prefix cache. */
	private static final int CACHED_PREFIXES = 8;

	/** Share of a prompt's tokens that belong to its prefix. */
	private static final double PREFIX_SHARE = 0.6;

	private final EngineSpeed speed;

	private final List<Job> batch = new ArrayList<>();

	private final LinkedHashSet<Long> prefixes = new LinkedHashSet<>();

	private boolean iterating;

	FakeModelEngine(BackendServer server, EngineSpeed speed, VirtualTimeline time) {
		super(server, time);
		this.speed = speed;
	}

	@Override
	int running() {
		return this.batch.size();
	}

	@Override
	public void admit(Job job) {
		queue().add(job);
		if (!this.iterating) {
			iterate();
		}
	}

	@Override
	public void cancel(Job job) {
		queue().remove(job);
		this.batch.remove(job);
	}

	private void iterate() {
		while (canStartNext()) {
			addToBatch(queue().poll());
		}
		this.iterating = !this.batch.isEmpty();
		if (!this.iterating) {
			return;
		}
		int budget = PREFILL_CHUNK_TOKENS;
		List<Job> decoding = new ArrayList<>();
		for (Job job : this.batch) {
			int tokens = Math.min(budget, job.promptTokensLeft());
			if (tokens == 0 && job.promptTokensLeft() == 0) {
				decoding.add(job);
			}
			job.prefill(tokens);
			budget -= tokens;
		}
		double millis = this.speed.iterationMillis() + this.speed.sequenceMillis() * decoding.size()
				+ this.speed.prefillMillisPerToken() * (PREFILL_CHUNK_TOKENS - budget);
		schedule(millis, () -> finishIteration(decoding));
	}

	private void addToBatch(Job job) {
		long prefix = job.request().prefixHash();
		if (this.prefixes.remove(prefix)) {
			job.setCachedTokens((int) (job.request().estimate().prompt() * PREFIX_SHARE));
		}
		this.prefixes.add(prefix);
		if (this.prefixes.size() > CACHED_PREFIXES) {
			this.prefixes.remove(this.prefixes.iterator().next());
		}
		this.batch.add(job);
	}

	private void finishIteration(List<Job> decoding) {
		for (Job job : decoding) {
			if (!this.batch.contains(job)) {
				continue;
			}
			job.generateToken(millisNow());
			if (job.isComplete()) {
				this.batch.remove(job);
				job.completed();
			}
		}
		iterate();
	}

}
