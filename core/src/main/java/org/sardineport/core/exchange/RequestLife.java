package org.sardineport.core.exchange;

import java.util.Objects;

import org.sardineport.core.port.backend.BackendFailure;

/**
 * The life of one request, in which dispatch happens at most once. Not safe for use by
 * several threads at once.
 */
public final class RequestLife {

	private RequestPhase phase = RequestPhase.RECEIVED;

	private RequestLife() {
	}

	/**
	 * Returns the life of a request that has just been received.
	 * @return the life
	 */
	public static RequestLife create() {
		return new RequestLife();
	}

	/**
	 * Returns the current phase.
	 * @return the phase
	 */
	public RequestPhase phase() {
		return this.phase;
	}

	/**
	 * Moves on if the change is allowed from the current phase.
	 * @param next the phase to enter
	 * @return whether the phase was entered; otherwise nothing changed
	 */
	public boolean tryEnter(RequestPhase next) {
		Objects.requireNonNull(next, "next must not be null");
		if (!this.phase.mayBecome(next)) {
			return false;
		}
		this.phase = next;
		return true;
	}

	/**
	 * Goes back from dispatch to waiting, which is allowed only if no byte was sent.
	 * @param failure how the exchange with the backend server failed
	 * @return whether the request waits again
	 */
	public boolean tryReturnToWaiting(BackendFailure failure) {
		if (this.phase != RequestPhase.DISPATCHED || !failure.isCertainlyUnsent()) {
			return false;
		}
		this.phase = RequestPhase.WAITING;
		return true;
	}

}
