package org.sardineport.daemon.exchange;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.port.backend.Exchange;

/**
 * The exchange of a run that counts now. A run has at most one; what an earlier one still
 * tells is not heard. Touched on the run's executor only.
 */
final class CurrentExchange {

	private @Nullable RunAttempt attempt;

	private @Nullable Exchange exchange;

	/**
	 * Makes an attempt the one that counts, before anything is sent for it.
	 * @param begun the attempt
	 */
	void expect(RunAttempt begun) {
		this.attempt = begun;
		this.exchange = null;
	}

	void began(Exchange begun) {
		this.exchange = begun;
	}

	boolean isOf(RunAttempt candidate) {
		return this.attempt == candidate;
	}

	@Nullable RunAttempt attempt() {
		return this.attempt;
	}

	void forget() {
		this.attempt = null;
		this.exchange = null;
	}

	void cancel() {
		if (this.exchange != null) {
			this.exchange.cancel();
		}
	}

	/** Lets go of the exchange and hears no more of it. */
	void detach() {
		Exchange held = this.exchange;
		forget();
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
