package org.sardineport.core.overload;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Time after which callers give up on a request that was not read.
 */
public final class UnreadTimeout {

	/** Maximum of this time, whatever the time limit. */
	static final Duration MAX = Duration.ofSeconds(1);

	/** Part of the time limit after which callers give up, as a divisor. */
	private static final int TIME_LIMIT_DIVISOR = 3;

	private UnreadTimeout() {
	}

	/**
	 * Returns the time after which the caller of a request gives up.
	 * @param timeLimit time for which the caller waits for the response
	 * @return a third of the time limit, at most a second
	 */
	public static Duration of(Duration timeLimit) {
		Duration part = timeLimit.dividedBy(TIME_LIMIT_DIVISOR);
		return (part.compareTo(MAX) < 0) ? part : MAX;
	}

	/**
	 * Returns whether the caller of a request may have given up before the request was
	 * read.
	 * @param age time since the request may have arrived
	 * @param timeLimit time for which the caller waits for the response, or {@code null}
	 * if not given
	 * @return whether the time has passed
	 */
	public static boolean mayHavePassed(Duration age, @Nullable Duration timeLimit) {
		return age.compareTo((timeLimit != null) ? of(timeLimit) : MAX) >= 0;
	}

}
