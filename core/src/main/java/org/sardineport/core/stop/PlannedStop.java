package org.sardineport.core.stop;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Decides how far a planned stop has come: callers that may still hold the address are
 * served, then new requests are refused, what is in flight goes on however long it takes,
 * what must last is written, and the process ends. Not safe for use by several threads.
 */
public final class PlannedStop {

	private final StopTiming timing;

	private final InstantSource clock;

	private StopPhase phase = StopPhase.SERVING;

	private @Nullable Instant requestedAt;

	private @Nullable Instant announcedAt;

	private boolean cutOff;

	private PlannedStop(StopTiming timing, InstantSource clock) {
		this.timing = timing;
		this.clock = clock;
	}

	/**
	 * Returns the state of a daemon that serves.
	 * @param timing times of the stop
	 * @param clock the clock
	 * @return the state
	 */
	public static PlannedStop create(StopTiming timing, InstantSource clock) {
		Objects.requireNonNull(timing, "timing must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
		return new PlannedStop(timing, clock);
	}

	/**
	 * Takes the request to stop. Further requests change nothing.
	 * @param neverServed whether no caller can have been told of this daemon, so that
	 * there is nobody to linger for
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
	 * Takes that the other daemons were told. The linger counts from here.
	 */
	public void announced() {
		if (this.announcedAt == null) {
			this.announcedAt = this.clock.instant();
		}
	}

	/**
	 * Goes on as far as time and work in flight allow.
	 * @param inFlight requests whose answers are not over
	 * @param flushed whether all that must last is written
	 * @return the phase now
	 */
	public StopPhase advance(int inFlight, boolean flushed) {
		Instant now = this.clock.instant();
		if (this.phase == StopPhase.LINGERING && isLingerOver(now)) {
			this.phase = StopPhase.DRAINING;
		}
		if (this.phase == StopPhase.DRAINING && (inFlight == 0 || isLimitOver(now))) {
			this.cutOff = inFlight > 0;
			this.phase = StopPhase.FLUSHING;
		}
		if (this.phase == StopPhase.FLUSHING && (flushed || isLimitOver(now))) {
			this.phase = StopPhase.ENDED;
		}
		return this.phase;
	}

	/**
	 * Returns the phase.
	 * @return the phase as of the last call
	 */
	public StopPhase phase() {
		return this.phase;
	}

	/**
	 * Returns whether the operators' limit ended work in flight.
	 * @return whether work was cut off
	 */
	public boolean isCutOff() {
		return this.cutOff;
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
