package org.sardineport.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Bounds how many requests one backend server rejects in a second, if it states how many
 * it bears. After a rejection it is taken to have room for the runs that it has admitted,
 * and one more request at a time tries whether there is more. Requests that may still be
 * rejected count like rejections meanwhile. All times are milliseconds of one clock. Not
 * thread-safe.
 */
public final class RejectionPacing {

	/** A second, with a margin for the delays of the messages that report rejections. */
	private static final long WINDOW_MILLIS = 1200;

	/** Age at which a run that has not been rejected counts as admitted. */
	private static final long ADMITTED_MILLIS = 100;

	/**
	 * Time after a rejection for which only one request at a time tries for more room.
	 */
	private static final long CAREFUL_MILLIS = 5000;

	private final Deque<Long> rejectedAt = new ArrayDeque<>();

	/** The runs that may still be rejected. */
	private final List<Start> unconfirmed = new ArrayList<>();

	private int maxRejections = StatedLimits.ANY_REJECTIONS;

	private long statedAt = Long.MIN_VALUE;

	/** Number of concurrent runs for which there is room as far as known. */
	private int room;

	private long lastRejectedAt = Long.MIN_VALUE / 2;

	/** When a request was rejected for which there had been room before. */
	private long shrunkAt = Long.MIN_VALUE / 2;

	private RejectionPacing() {
	}

	/**
	 * Returns a pacing for a backend server that bears any number of rejections.
	 * @return the pacing
	 */
	public static RejectionPacing unlimited() {
		return new RejectionPacing();
	}

	/**
	 * Applies a number that the backend server has stated, unless a later statement is
	 * known.
	 * @param stated maximum number of rejections a second, or
	 * {@link StatedLimits#ANY_REJECTIONS}
	 * @param time when it stated that
	 * @param running number of requests that run there
	 * @return whether another number applies than before
	 */
	public boolean apply(int stated, long time, int running) {
		if (time < this.statedAt) {
			return false;
		}
		this.statedAt = time;
		if (stated == this.maxRejections) {
			return false;
		}
		this.maxRejections = stated;
		this.room = running;
		return true;
	}

	/**
	 * Returns whether the backend server has stated how many rejections it bears.
	 * @return whether there is a limit
	 */
	public boolean isLimited() {
		return this.maxRejections != StatedLimits.ANY_REJECTIONS;
	}

	/**
	 * Forgets for how many runs there is room, because others may have sent requests
	 * meanwhile.
	 */
	public void reset() {
		this.room = 0;
	}

	/**
	 * Records that a run starts.
	 * @param running number of requests that run there, including this one
	 * @param now the current time
	 */
	public void runStarted(int running, long now) {
		forget(now);
		this.unconfirmed.add(new Start(now, running, running > this.room));
	}

	/**
	 * Records that a run has ended.
	 * @param started when it started
	 * @param rejected whether the backend server has rejected the request
	 * @param running number of requests that ran there, including this one
	 * @param now the current time
	 */
	public void runEnded(long started, boolean rejected, int running, long now) {
		forget(now);
		Optional<Start> start = this.unconfirmed.stream().filter((each) -> each.time() == started).findFirst();
		start.ifPresent(this.unconfirmed::remove);
		if (rejected) {
			this.rejectedAt.addLast(now);
			this.lastRejectedAt = now;
			this.shrunkAt = start.filter(Start::attempt).isPresent() ? this.shrunkAt : now;
			this.room = Math.min(this.room, running - 1);
			this.unconfirmed.replaceAll(Start::withoutRoom);
		}
		else {
			start.ifPresent(this::admitted);
		}
	}

	private void admitted(Start start) {
		this.room = Math.max(this.room, start.running());
	}

	/**
	 * Returns whether a request may be sent now.
	 * @param running number of requests that run there
	 * @param now the current time
	 * @return whether the number of rejections stays within the limit even if the backend
	 * server rejects it
	 */
	public boolean mayStart(int running, long now) {
		return millisUntilStart(running, now) == 0;
	}

	/**
	 * Returns when a request may be sent, if no run ends before.
	 * @param running number of requests that run there
	 * @param now the current time
	 * @return milliseconds from now
	 */
	public long millisUntilStart(int running, long now) {
		if (this.maxRejections == StatedLimits.ANY_REJECTIONS) {
			return 0;
		}
		forget(now);
		if (this.rejectedAt.size() >= allowed()) {
			return this.rejectedAt.getFirst() + WINDOW_MILLIS - now;
		}
		boolean shrinking = now - this.shrunkAt < CAREFUL_MILLIS;
		if (shrinking && this.rejectedAt.size() + this.unconfirmed.size() >= allowed()) {
			return this.unconfirmed.get(0).time() + ADMITTED_MILLIS - now;
		}
		return (running < this.room) ? 0 : millisUntilAttempt(running - this.room, now);
	}

	// After a rejection, attempts use up half of the rejections that are allowed.
	private long millisUntilAttempt(int ongoing, long now) {
		boolean careful = now - this.lastRejectedAt < CAREFUL_MILLIS;
		long due = Math.max(0, this.lastRejectedAt + 2 * WINDOW_MILLIS / allowed() - now);
		return (ongoing < (careful ? 1 : allowed())) ? due : Math.max(due, ADMITTED_MILLIS);
	}

	// One request must be possible, so that the end of the limit is noticed. One less
	// than stated leaves room for a rejection that a former owner has caused.
	private int allowed() {
		return Math.max(1, this.maxRejections - 1);
	}

	private void forget(long now) {
		while (!this.rejectedAt.isEmpty() && this.rejectedAt.getFirst() <= now - WINDOW_MILLIS) {
			this.rejectedAt.removeFirst();
		}
		while (!this.unconfirmed.isEmpty() && this.unconfirmed.get(0).time() <= now - ADMITTED_MILLIS) {
			admitted(this.unconfirmed.remove(0));
		}
	}

	/**
	 * Start of a run that may still be rejected.
	 *
	 * @param time when it started
	 * @param running number of requests for which there is room if it is admitted
	 * @param attempt whether it tries for more room than known
	 */
	private record Start(long time, int running, boolean attempt) {

		Start withoutRoom() {
			return new Start(this.time, 0, this.attempt);
		}

	}

}
