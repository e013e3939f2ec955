package org.sardineport.core.error;

import java.util.Objects;

/**
 * One fault of a document that an operator wrote.
 *
 * @param path where it is, such as {@code routes[2].tier}; empty for the whole document
 * @param line line of the document, from 1; 0 if no line can be named
 * @param found what stands there; never a secret
 * @param remedy what to write instead
 */
public record DocumentFault(String path, int line, String found, String remedy) {

	/**
	 * Creates the fault.
	 */
	public DocumentFault {
		Objects.requireNonNull(path, "path must not be null");
		Objects.requireNonNull(found, "found must not be null");
		Objects.requireNonNull(remedy, "remedy must not be null");
		if (line < 0) {
			throw new IllegalArgumentException("line must not be negative, found " + line);
		}
	}

	@Override
	public String toString() {
		String place = this.path.isEmpty() ? "document" : this.path;
		return place + ((this.line > 0) ? " (line " + this.line + ")" : "") + ": found " + this.found + "; "
				+ this.remedy;
	}

}
