package org.sardineport.core.journal;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Outcome;

/**
 * Phase of a row in the key table. More detailed than the {@link KeyPhase} reported to
 * callers.
 */
enum RowPhase {

	/** No row. */
	EMPTY(KeyPhase.ABSENT, null),

	/** Held by a claim that has not dispatched. */
	ACCEPTED(KeyPhase.ACCEPTED, null),

	/** Dispatched by a claim. */
	DISPATCHED(KeyPhase.DISPATCHED, null),

	/** The last claim was released; nothing ran. */
	RELEASED(KeyPhase.ABSENT, Outcome.NOT_RUN),

	/** Completed. */
	COMPLETED(KeyPhase.FINISHED, Outcome.COMPLETED),

	/** Ended; it may have run. */
	UNKNOWN(KeyPhase.FINISHED, Outcome.UNKNOWN);

	private static final RowPhase[] ALL = values();

	private final KeyPhase phase;

	private final @Nullable Outcome outcome;

	RowPhase(KeyPhase phase, @Nullable Outcome outcome) {
		this.phase = phase;
		this.outcome = outcome;
	}

	static RowPhase of(byte code) {
		return ALL[code];
	}

	byte code() {
		return (byte) ordinal();
	}

	KeyPhase phase() {
		return this.phase;
	}

	@Nullable Outcome outcome() {
		return this.outcome;
	}

	// Returns the state reported to callers, without the answer.
	KeyState state() {
		return new KeyState(this.phase, this.outcome, null);
	}

	boolean isActive() {
		return this == ACCEPTED || this == DISPATCHED;
	}

	boolean isFinished() {
		return this == COMPLETED || this == UNKNOWN;
	}

}
