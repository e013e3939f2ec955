package org.sardineport.standins.engine;

import org.jspecify.annotations.Nullable;

/**
 * Fault injection for a fake engine. All faults are off at first. Thread-safe; a change
 * applies to the requests and tokens that follow it.
 */
public final class EngineFaults {

	private volatile @Nullable String crashMarker;

	private volatile int truncateAfterTokens = -1;

	private volatile int slowdown = 1;

	private volatile boolean refusing;

	private volatile boolean droppingEvents;

	private volatile boolean omittingFinalEvent;

	private volatile boolean droppingOrderResponses;

	EngineFaults() {
	}

	/**
	 * Crashes the engine on each request whose body contains a marker.
	 * @param marker the marker, or {@code null} to crash on no request
	 */
	public void crashOn(@Nullable String marker) {
		this.crashMarker = marker;
	}

	/**
	 * Breaks the connection of each response after a number of tokens.
	 * @param tokens number of tokens, or -1 to break no connection
	 */
	public void truncateAfter(int tokens) {
		this.truncateAfterTokens = tokens;
	}

	/**
	 * Ends each response properly but without its final event, so that its HTTP framing
	 * is complete and its content is not.
	 * @param isOmitting whether the final event is omitted
	 */
	public void omitFinalEvent(boolean isOmitting) {
		this.omittingFinalEvent = isOmitting;
	}

	/**
	 * Slows the engine down.
	 * @param factor factor on all durations, 1 for full speed
	 */
	public void slowDown(int factor) {
		this.slowdown = factor;
	}

	/**
	 * Rejects all requests for a completion with status 503. Has no effect in memory.
	 * @param isRefusing whether requests are rejected
	 */
	public void refuse(boolean isRefusing) {
		this.refusing = isRefusing;
	}

	/**
	 * Drops the cache events with odd sequence numbers.
	 * @param isDropping whether every second event is dropped
	 */
	public void dropEvents(boolean isDropping) {
		this.droppingEvents = isDropping;
	}

	/**
	 * Accepts orders but drops the responses to them.
	 * @param isDropping whether responses are dropped
	 */
	public void dropOrderResponses(boolean isDropping) {
		this.droppingOrderResponses = isDropping;
	}

	boolean isDroppingOrderResponses() {
		return this.droppingOrderResponses;
	}

	boolean crashesOn(String body) {
		String marker = this.crashMarker;
		return marker != null && body.contains(marker);
	}

	int truncateAfterTokens() {
		return this.truncateAfterTokens;
	}

	int slowdown() {
		return this.slowdown;
	}

	boolean isRefusing() {
		return this.refusing;
	}

	boolean isDroppingEvents() {
		return this.droppingEvents;
	}

	boolean isOmittingFinalEvent() {
		return this.omittingFinalEvent;
	}

}
