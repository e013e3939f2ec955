package org.sardineport.core.exchange;

import java.util.Objects;

import org.sardineport.core.error.SardineportException;
import org.sardineport.core.request.Refusal;

/**
 * Signals that a request is refused; carries the refusal for the caller.
 */
public final class RefusedException extends SardineportException {

	private final transient Refusal refusal;

	private RefusedException(Refusal refusal) {
		super(refusal.detail(), refusal.reason().remedy(), null);
		this.refusal = refusal;
	}

	/**
	 * Returns an exception for a refusal, with its detail as the message.
	 * @param refusal the refusal
	 * @return the exception
	 */
	public static RefusedException of(Refusal refusal) {
		return new RefusedException(Objects.requireNonNull(refusal, "refusal must not be null"));
	}

	/**
	 * Returns the refusal to report to the caller.
	 * @return the refusal
	 */
	public Refusal refusal() {
		return this.refusal;
	}

}
