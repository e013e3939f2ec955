package org.sardineport.standins.engine;

import org.jspecify.annotations.Nullable;

/**
 * Switches for what goes wrong in an engine. Safe for use by any thread.
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
	 * Crashes the engine on each request whose body holds a text.
	 * @param marker the text, or {@code null} to crash on none
	 */
	public void crashOn(@Nullable String marker) {
		this.crashMarker = marker;
	}

	/**
	 * Breaks the connection of each answer after some tokens.
	 * @param tokens the number, or -1 to break none
	 */
	public void truncateAfter(int tokens) {
		this.truncateAfterTokens = tokens;
	}

	/**
	 * Ends each stream in good form but without its final event.
	 * @param isOmitting whether the final event is left out
	 */
	public void omitFinalEvent(boolean isOmitting) {
		this.omittingFinalEvent = isOmitting;
	}

	/**
	 * Slows the engine down.
	 * @param factor factor on all its times, 1 for none
	 */
	public void slowDown(int factor) {
		this.slowdown = factor;
	}

	/**
	 * Answers all requests with status 503.
	 * @param isRefusing whether requests are refused
	 */
	public void refuse(boolean isRefusing) {
		this.refusing = isRefusing;
	}

	/**
	 * Leaves gaps in the cache events.
	 * @param isDropping whether every second event is lost
	 */
	public void dropEvents(boolean isDropping) {
		this.droppingEvents = isDropping;
	}

	/**
	 * Takes orders and loses the answers to them.
	 * @param isDropping whether answers are lost
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
