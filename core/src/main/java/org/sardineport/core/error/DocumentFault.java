package org.sardineport.core.error;

import java.util.Objects;

/**
 * Fault in a document written by an operator, such as the settings or a profile.
 *
 * @param path path of the faulty element, such as {@code routes[2].tier}; empty for the
 * whole document
 * @param line line number, starting at 1; 0 if unknown
 * @param found description of the faulty value; must not contain secrets
 * @param remedy how to correct the fault
 */
public record DocumentFault(String path, int line, String found, String remedy) {

	/**
	 * Validates the values.
	 * @throws IllegalArgumentException if the line is negative
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
		String location = this.path.isEmpty() ? "document" : this.path;
		return location + ((this.line > 0) ? " (line " + this.line + ")" : "") + ": found " + this.found + "; "
				+ this.remedy;
	}

}
