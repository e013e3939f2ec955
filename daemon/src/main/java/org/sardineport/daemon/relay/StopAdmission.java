package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.exchange.RefusedException;
import org.sardineport.core.relay.RunDurations;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * Decides during a planned stop whether a request can be expected to end before the
 * daemon does, from its time limit and from how long the runs of its route took. Confined
 * to the event loop, but for {@link #stopping(Instant)}.
 */
final class StopAdmission {

	/** Time after which a refused caller may retry on another daemon. */
	static final Duration RETRY_AFTER = Duration.ofMillis(50);

	/** Time before the end at which what is still in flight is answered. */
	private static final Duration ANSWER_MARGIN = Duration.ofMillis(150);

	private final InstantSource clock;

	private final RunDurations durations = RunDurations.create();

	private volatile @Nullable Instant latestEnd;

	private StopAdmission(InstantSource clock) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
	}

	/**
	 * Returns an admission that admits every request.
	 * @param clock a monotonic clock
	 * @return the admission
	 */
	static StopAdmission create(InstantSource clock) {
		return new StopAdmission(clock);
	}

	/**
	 * Records that the daemon stops. Safe for use by any thread.
	 * @param end time at which requests in flight are cut off
	 */
	void stopping(Instant end) {
		this.latestEnd = end.minus(ANSWER_MARGIN);
	}

	/**
	 * Returns when what is still in flight is to be answered.
	 * @return the time; {@code null} if the daemon does not stop, or only after the last
	 * request
	 */
	@Nullable Instant latestEnd() {
		return this.latestEnd;
	}

	/**
	 * Refuses a request that has not run and is not expected to end in time.
	 * @param request the request, about to be admitted or sent to a backend server
	 * @throws RefusedException if the daemon ends before the request probably does
	 */
	void check(RelayRequest request) throws RefusedException {
		Instant end = this.latestEnd;
		if (end == null || !request.latestResponse().isAfter(end)) {
			return;
		}
		Duration left = Duration.between(this.clock.instant(), end);
		Duration needed = this.durations.estimate(request.admission().route().name()).orElse(null);
		if (needed != null && needed.compareTo(left) > 0) {
			throw RefusedException.of(Refusal.retryAfter(RefusalReason.STOPPING,
					"this daemon stops in %d ms, and requests of the route take %d ms".formatted(left.toMillis(),
							needed.toMillis()),
					RETRY_AFTER));
		}
	}

	/**
	 * Records how long a run took.
	 * @param request the request, whose response is complete or which passed its time
	 * limit
	 * @param dispatched when it was last sent to a backend server
	 */
	void ended(RelayRequest request, Instant dispatched) {
		this.durations.record(request.admission().route().name(), Duration.between(dispatched, this.clock.instant()));
	}

}
