package org.sardineport.core.exchange;

import java.util.Objects;

import org.sardineport.core.error.SardineportException;
import org.sardineport.core.request.Refusal;

/**
 * A request is refused.
 */
public final class RefusedException extends SardineportException {

	private final transient Refusal refusal;

	private RefusedException(Refusal refusal) {
		super(refusal.detail(), refusal.reason().remedy(), null);
		this.refusal = refusal;
	}

	/**
	 * Returns the error for a refusal.
	 * @param refusal what the caller is told
	 * @return the error
	 */
	public static RefusedException of(Refusal refusal) {
		return new RefusedException(Objects.requireNonNull(refusal, "refusal must not be null"));
	}

	/**
	 * Returns what the caller is told.
	 * @return the refusal
	 */
	public Refusal refusal() {
		return this.refusal;
	}

}
