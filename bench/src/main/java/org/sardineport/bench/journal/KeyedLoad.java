package org.sardineport.bench.journal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.journal.AcceptDecision;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.journal.IdempotencyKey;
import org.sardineport.core.journal.JournalClaim;
import org.sardineport.core.journal.KeyedRequest;
import org.sardineport.core.journal.StoredResponse;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;
import org.sardineport.daemon.journal.JournalService;

/**
 * Load of pairs of requests at a constant rate, one with an idempotency key and one
 * without, on a simulated backend server with a fixed latency.
 */
final class KeyedLoad {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration BACKEND_LATENCY = Duration.ofMillis(5);

	private static final int RESPONSE_BYTES = 200;

	private static final long HIGHEST_MICROS = 60_000_000;

	private final JournalFleet fleet;

	private final SplittableRandom random;

	private final Histogram keyed = new ConcurrentHistogram(HIGHEST_MICROS, 3);

	private final Histogram unkeyed = new ConcurrentHistogram(HIGHEST_MICROS, 3);

	private KeyedLoad(JournalFleet fleet, long seed) {
		this.fleet = fleet;
		this.random = new SplittableRandom(seed);
	}

	static KeyedLoad run(JournalFleet fleet, int requestsPerSecond, Duration duration) throws Exception {
		KeyedLoad load = new KeyedLoad(fleet, requestsPerSecond);
		load.run(requestsPerSecond, duration);
		return load;
	}

	Histogram keyed() {
		return this.keyed;
	}

	Histogram unkeyed() {
		return this.unkeyed;
	}

	private void run(int requestsPerSecond, Duration duration) throws Exception {
		long count = requestsPerSecond * duration.toMillis() / 1000;
		long interval = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
		long start = System.nanoTime();
		List<CompletableFuture<?>> running = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			LockSupport.parkNanos(start + number * interval - System.nanoTime());
			running.add(keyedRequest(this.fleet.journal(number)).toCompletableFuture());
			running.add(unkeyedRequest().toCompletableFuture());
		}
		CompletableFuture.allOf(running.toArray(CompletableFuture[]::new))
			.get(REQUEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
	}

	private CompletionStage<Void> unkeyedRequest() {
		long start = System.nanoTime();
		return backend().thenRun(() -> record(this.unkeyed, start));
	}

	private CompletionStage<Void> keyedRequest(JournalService journal) {
		long start = System.nanoTime();
		return journal.accept(request()).thenCompose((decision) -> {
			JournalClaim claim = ((AcceptDecision.Accepted) decision).claim();
			return journal.dispatch(claim, BackendServerId.of("server"), "stream", Instant.now().plus(REQUEST_TIMEOUT))
				.thenCompose((dispatch) -> backendIfWon(dispatch))
				.thenRun(() -> record(this.keyed, start))
				.thenCompose((nothing) -> journal.finish(claim, Outcome.COMPLETED,
						new StoredResponse(200, Map.of(), new byte[RESPONSE_BYTES])));
		});
	}

	private static CompletionStage<Void> backendIfWon(DispatchDecision decision) {
		if (decision instanceof DispatchDecision.Won) {
			return backend();
		}
		throw new IllegalStateException("journal refused the dispatch: " + decision);
	}

	private static CompletionStage<Void> backend() {
		return CompletableFuture.runAsync(() -> {
		}, CompletableFuture.delayedExecutor(BACKEND_LATENCY.toMillis(), TimeUnit.MILLISECONDS));
	}

	private static void record(Histogram histogram, long start) {
		histogram.recordValue(Math.min(HIGHEST_MICROS, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start)));
	}

	KeyedRequest request() {
		return request(new UUID(this.random.nextLong(), this.random.nextLong()).toString(), false);
	}

	static KeyedRequest request(String key, boolean durable) {
		Instant now = Instant.ofEpochMilli(System.currentTimeMillis());
		OrganisationId organisation = OrganisationId.of("organisation");
		Fingerprint fingerprint = Fingerprint.of(key.hashCode(), 1);
		SchedulingRequest scheduling = new SchedulingRequest(RequestId.of("request"), PoolName.of("pool"), organisation,
				Tier.STANDARD, TokenEstimate.NONE, 0, fingerprint, RunningPolicy.UNINTERRUPTIBLE, 0, now,
				now.plus(REQUEST_TIMEOUT));
		return new KeyedRequest(new IdempotencyKey(organisation, key, now), fingerprint, durable, "POST", "/v1/entries",
				Map.of(), new byte[0], scheduling, now.plus(REQUEST_TIMEOUT));
	}

}
