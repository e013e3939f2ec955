package org.sardineport.bench.policy;

import java.util.EnumMap;
import java.util.Map;

import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.Tier;

/**
 * What one run gave.
 */
final class PolicyResult {

	private final PolicyKind policy;

	private final Site site;

	private final LoadCase loadCase;

	private final long seed;

	private final Map<Tier, Integer> offered = new EnumMap<>(Tier.class);

	private final Map<Tier, Integer> good = new EnumMap<>(Tier.class);

	private final Map<RefusalReason, Integer> refusals = new EnumMap<>(RefusalReason.class);

	private long goodTokens;

	private long wastedPrefill;

	private int preemptions;

	private int messages;

	private int retries;

	private long checkedEvents;

	private long brokenEvents;

	private int shedBehindLower;

	private int topRefused;

	PolicyResult(PolicyKind policy, Site site, LoadCase loadCase, long seed) {
		this.policy = policy;
		this.site = site;
		this.loadCase = loadCase;
		this.seed = seed;
	}

	void offered(Job job) {
		this.offered.merge(job.request().tier(), 1, Integer::sum);
	}

	void good(Job job) {
		this.good.merge(job.request().tier(), 1, Integer::sum);
		this.goodTokens += job.answerTokens();
	}

	void wasted(Job job) {
		this.wastedPrefill += job.prefilledTokens();
	}

	void preempted(Job job) {
		this.preemptions++;
		wasted(job);
	}

	void refused(Job job, RefusalReason reason, boolean behindLower) {
		this.refusals.merge(reason, 1, Integer::sum);
		this.topRefused += (job.request().tier().isTop()) ? 1 : 0;
		this.shedBehindLower += (behindLower) ? 1 : 0;
	}

	void checked(boolean holds) {
		this.checkedEvents++;
		this.brokenEvents += (holds) ? 0 : 1;
	}

	void message() {
		this.messages++;
	}

	void retry() {
		this.retries++;
	}

	PolicyKind policy() {
		return this.policy;
	}

	Site site() {
		return this.site;
	}

	LoadCase loadCase() {
		return this.loadCase;
	}

	long seed() {
		return this.seed;
	}

	/**
	 * Returns the share of a tier's requests that were complete and on time.
	 * @param tier the tier
	 * @return from 0 to 1
	 */
	double goodput(Tier tier) {
		int all = this.offered.getOrDefault(tier, 0);
		return (all == 0) ? 1 : (double) this.good.getOrDefault(tier, 0) / all;
	}

	long goodTokens() {
		return this.goodTokens;
	}

	long wastedPrefill() {
		return this.wastedPrefill;
	}

	int preemptions() {
		return this.preemptions;
	}

	int messages() {
		return this.messages;
	}

	int retries() {
		return this.retries;
	}

	int requests() {
		return this.offered.values().stream().mapToInt(Integer::intValue).sum();
	}

	long checkedEvents() {
		return this.checkedEvents;
	}

	long brokenEvents() {
		return this.brokenEvents;
	}

	int shedBehindLower() {
		return this.shedBehindLower;
	}

	int topRefused() {
		return this.topRefused;
	}

	Map<RefusalReason, Integer> refusals() {
		return this.refusals;
	}

}
