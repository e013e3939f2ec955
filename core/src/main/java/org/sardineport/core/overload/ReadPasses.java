package org.sardineport.core.overload;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Read passes of an event loop that reads all its sockets at the beginning of each turn,
 * and then runs tasks. A close of a connection that lies in a socket is known only after
 * a pass that began after it. Not thread-safe.
 */
public final class ReadPasses {

	/**
	 * Maximum age of the latest pass for which callers count as connected. At ordinary
	 * load a turn takes less than this, so that no request waits for another pass.
	 */
	public static final Duration MAX_AGE = Duration.ofMillis(20);

	/** Number below that of any turn, if any recent pass suffices. */
	public static final long BEFORE_ALL_TURNS = -1;

	private final InstantSource clock;

	private long turn;

	private @Nullable Instant passBegan;

	private ReadPasses(InstantSource clock) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
	}

	/**
	 * Returns the passes of an event loop of which no turn has ended yet.
	 * @param clock a steady clock
	 * @return the passes
	 */
	public static ReadPasses create(InstantSource clock) {
		return new ReadPasses(clock);
	}

	/**
	 * Records that a turn has ended, and that the next one begins with a pass.
	 */
	public void turnEnded() {
		this.turn++;
		this.passBegan = this.clock.instant();
	}

	/**
	 * Returns the number of the current turn.
	 * @return the number, higher for later turns
	 */
	public long turn() {
		return this.turn;
	}

	/**
	 * Returns whether a close would be known by now that was in the socket
	 * {@link #MAX_AGE} ago.
	 * @param readInTurn the turn in which the request was read; a close may lie behind it
	 * in the socket
	 * @return whether a pass began after that turn, and recently
	 */
	public boolean isRecent(long readInTurn) {
		Instant began = this.passBegan;
		return began != null && this.turn > readInTurn && !this.clock.instant().isAfter(began.plus(MAX_AGE));
	}

}
