package org.sardineport.core.exchange;

import java.util.Objects;

import org.sardineport.core.port.backend.BackendFailure;

/**
 * State machine of one request, which ensures that no request is dispatched again after
 * bytes of it may have been sent. Not thread-safe.
 */
public final class RequestLifecycle {

	private RequestPhase phase = RequestPhase.RECEIVED;

	private RequestLifecycle() {
	}

	/**
	 * Returns the state machine of a request that has just been received.
	 * @return the state machine, in phase {@link RequestPhase#RECEIVED}
	 */
	public static RequestLifecycle create() {
		return new RequestLifecycle();
	}

	/**
	 * Returns the phase that was entered last.
	 * @return the phase
	 */
	public RequestPhase phase() {
		return this.phase;
	}

	/**
	 * Enters a phase if the transition from the current phase is allowed.
	 * @param next the phase to enter
	 * @return {@code true} if the phase was entered; otherwise the state is unchanged
	 */
	public boolean tryEnter(RequestPhase next) {
		Objects.requireNonNull(next, "next must not be null");
		if (!this.phase.canTransitionTo(next)) {
			return false;
		}
		this.phase = next;
		return true;
	}

	/**
	 * Returns from dispatch to waiting, which is allowed only if no byte was sent.
	 * @param failure how the exchange with the backend server failed
	 * @return {@code true} if the request waits again; otherwise the state is unchanged
	 */
	public boolean tryReturnToWaiting(BackendFailure failure) {
		if (this.phase != RequestPhase.DISPATCHED || !failure.isCertainlyUnsent()) {
			return false;
		}
		this.phase = RequestPhase.WAITING;
		return true;
	}

}
