package org.sardineport.core.stop;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * State machine of a planned stop. Callers that may still know the address are served for
 * the linger time. Then new requests are refused, and requests in flight are completed
 * without a time limit unless the operators set one. Finally durable data is flushed and
 * the process may end. Not safe for use by several threads.
 */
public final class PlannedStop {

	private final StopTiming timing;

	private final InstantSource clock;

	private StopPhase phase = StopPhase.SERVING;

	private @Nullable Instant requestedAt;

	private @Nullable Instant announcedAt;

	private boolean aborted;

	private PlannedStop(StopTiming timing, InstantSource clock) {
		this.timing = timing;
		this.clock = clock;
	}

	/**
	 * Returns a stop that has not been requested.
	 * @param timing times of the stop
	 * @param clock the clock
	 * @return the stop, in the phase {@link StopPhase#SERVING}
	 */
	public static PlannedStop create(StopTiming timing, InstantSource clock) {
		Objects.requireNonNull(timing, "timing must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
		return new PlannedStop(timing, clock);
	}

	/**
	 * Requests the stop. Further requests have no effect.
	 * @param neverServed whether no caller can know the address of this daemon, in which
	 * case the linger time is skipped
	 * @return whether this was the first request
	 */
	public boolean request(boolean neverServed) {
		if (this.phase != StopPhase.SERVING) {
			return false;
		}
		this.requestedAt = this.clock.instant();
		this.phase = (neverServed) ? StopPhase.DRAINING : StopPhase.LINGERING;
		return true;
	}

	/**
	 * Records that the stop was announced to the other daemons. The linger time starts at
	 * the first call.
	 */
	public void announced() {
		if (this.announcedAt == null) {
			this.announcedAt = this.clock.instant();
		}
	}

	/**
	 * Advances through as many phases as the time, the requests in flight and the flush
	 * allow.
	 * @param inFlight number of requests whose responses are not complete
	 * @param flushed whether all durable data is written
	 * @return the phase after the call
	 */
	public StopPhase advance(int inFlight, boolean flushed) {
		Instant now = this.clock.instant();
		if (this.phase == StopPhase.LINGERING && isLingerOver(now)) {
			this.phase = StopPhase.DRAINING;
		}
		if (this.phase == StopPhase.DRAINING && (inFlight == 0 || isLimitOver(now))) {
			this.aborted = inFlight > 0;
			this.phase = StopPhase.FLUSHING;
		}
		if (this.phase == StopPhase.FLUSHING && (flushed || isLimitOver(now))) {
			this.phase = StopPhase.ENDED;
		}
		return this.phase;
	}

	/**
	 * Returns the current phase.
	 * @return the phase after the last call to {@link #request(boolean)} or
	 * {@link #advance(int, boolean)}
	 */
	public StopPhase phase() {
		return this.phase;
	}

	/**
	 * Returns whether the stop left the draining phase at the operators' limit with
	 * requests still in flight.
	 * @return whether requests in flight were aborted
	 */
	public boolean isAborted() {
		return this.aborted;
	}

	private boolean isLingerOver(Instant now) {
		return (this.announcedAt != null && !now.isBefore(this.announcedAt.plus(this.timing.linger())))
				|| isLimitOver(now);
	}

	private boolean isLimitOver(Instant now) {
		return this.requestedAt != null && this.timing.isLimited()
				&& !now.isBefore(this.requestedAt.plus(this.timing.limit()));
	}

}
