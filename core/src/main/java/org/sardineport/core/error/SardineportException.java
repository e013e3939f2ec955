package org.sardineport.core.error;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Base of all checked errors of the system. An error names what failed and what its
 * reader can do about it.
 */
public abstract class SardineportException extends Exception {

	private final String remedy;

	protected SardineportException(String message, String remedy, @Nullable Throwable cause) {
		super(message, cause);
		this.remedy = Objects.requireNonNull(remedy, "remedy must not be null");
	}

	/**
	 * Returns what the reader of this error can do about it.
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
