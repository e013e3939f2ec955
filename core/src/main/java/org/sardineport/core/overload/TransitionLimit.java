package org.sardineport.core.overload;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * Limits how often changes of a state are reported, so that a state that flaps does not
 * fill the log. A begin that is not reported is counted, and its end is not reported
 * either. Not thread-safe.
 */
public final class TransitionLimit {

	/** Minimum time between two reported begins. */
	static final Duration INTERVAL = Duration.ofSeconds(10);

	private final InstantSource clock;

	private @Nullable Instant lastReport;

	private boolean active;

	private boolean reported;

	private int suppressed;

	private TransitionLimit(InstantSource clock) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
	}

	/**
	 * Returns a limit for a state that is not active.
	 * @param clock a steady clock
	 * @return the limit
	 */
	public static TransitionLimit create(InstantSource clock) {
		return new TransitionLimit(clock);
	}

	/**
	 * Records the state.
	 * @param isActive whether it is active now
	 * @return the change to report, if there is one
	 */
	public Optional<StateTransition> record(boolean isActive) {
		if (isActive == this.active) {
			return Optional.empty();
		}
		this.active = isActive;
		return isActive ? begun() : ended();
	}

	private Optional<StateTransition> begun() {
		Instant now = this.clock.instant();
		Instant last = this.lastReport;
		this.reported = last == null || !now.isBefore(last.plus(INTERVAL));
		if (!this.reported) {
			this.suppressed++;
			return Optional.empty();
		}
		this.lastReport = now;
		StateTransition transition = new StateTransition(true, this.suppressed, Duration.ZERO);
		this.suppressed = 0;
		return Optional.of(transition);
	}

	private Optional<StateTransition> ended() {
		Instant began = this.lastReport;
		if (!this.reported || began == null) {
			return Optional.empty();
		}
		return Optional.of(new StateTransition(false, 0, Duration.between(began, this.clock.instant())));
	}

}
