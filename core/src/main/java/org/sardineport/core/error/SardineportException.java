package org.sardineport.core.error;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Base class of the checked exceptions of the system. The message describes the failure,
 * the remedy how to resolve it.
 */
public abstract class SardineportException extends Exception {

	private final String remedy;

	protected SardineportException(String message, String remedy, @Nullable Throwable cause) {
		super(message, cause);
		this.remedy = Objects.requireNonNull(remedy, "remedy must not be null");
	}

	/**
	 * Returns the action that resolves the error.
	 * @return one sentence, never empty
	 */
	public final String remedy() {
		return this.remedy;
	}

	@Override
	public String toString() {
		return super.toString() + " (remedy: " + this.remedy + ")";
	}

}
