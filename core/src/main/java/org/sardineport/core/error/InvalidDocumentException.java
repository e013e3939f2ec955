package org.sardineport.core.error;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown if a document written by an operator has faults. The message lists all detected
 * faults, so that they can be corrected together.
 */
public final class InvalidDocumentException extends SardineportException {

	private static final long serialVersionUID = 1L;

	private final transient List<DocumentFault> faults;

	private InvalidDocumentException(String document, List<DocumentFault> faults) {
		super(message(document, faults), "Correct every fault that is listed.", null);
		this.faults = List.copyOf(faults);
	}

	/**
	 * Creates the exception for the faults of a document.
	 * @param document name of the document for the message, such as {@code settings}
	 * @param faults the faults, at least one
	 * @return the exception
	 * @throws IllegalArgumentException if there are no faults
	 */
	public static InvalidDocumentException of(String document, List<DocumentFault> faults) {
		if (faults.isEmpty()) {
			throw new IllegalArgumentException("faults must not be empty");
		}
		return new InvalidDocumentException(document, faults);
	}

	private static String message(String document, List<DocumentFault> faults) {
		return faults.stream()
			.map((fault) -> "\n  " + fault)
			.collect(Collectors.joining("", "%s has %d fault(s):".formatted(document, faults.size()), ""));
	}

	/**
	 * Returns all detected faults.
	 * @return the faults in order of their position in the document, at least one
	 */
	public List<DocumentFault> faults() {
		return this.faults;
	}

}
