package org.sardineport.daemon.exchange;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.port.backend.Exchange;

/**
 * Holds the current exchange of a run, of which there is at most one. Events of earlier
 * exchanges are ignored. Used on the run's executor only.
 */
final class CurrentExchange {

	private @Nullable RunAttempt attempt;

	private @Nullable Exchange exchange;

	/**
	 * Makes an attempt the current one, before its exchange starts and can report events.
	 * @param newAttempt the attempt
	 */
	void begin(RunAttempt newAttempt) {
		this.attempt = newAttempt;
		this.exchange = null;
	}

	void attach(Exchange newExchange) {
		this.exchange = newExchange;
	}

	boolean isCurrent(RunAttempt candidate) {
		return this.attempt == candidate;
	}

	@Nullable RunAttempt attempt() {
		return this.attempt;
	}

	void clear() {
		this.attempt = null;
		this.exchange = null;
	}

	void cancel() {
		if (this.exchange != null) {
			this.exchange.cancel();
		}
	}

	/** Detaches from the exchange, whose later events are ignored. */
	void detach() {
		Exchange held = this.exchange;
		clear();
		if (held != null) {
			held.detach();
		}
	}

	void pause() {
		if (this.exchange != null) {
			this.exchange.pause();
		}
	}

	void resume() {
		if (this.exchange != null) {
			this.exchange.resume();
		}
	}

}
