package org.sardineport.core.error;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A document that an operator wrote has faults. All faults that could be found are named
 * at once.
 */
public final class InvalidDocumentException extends SardineportException {

	private static final long serialVersionUID = 1L;

	private final transient List<DocumentFault> faults;

	private InvalidDocumentException(String document, List<DocumentFault> faults) {
		super(message(document, faults), "Correct every fault that is listed.", null);
		this.faults = List.copyOf(faults);
	}

	/**
	 * Returns the error for the faults of a document.
	 * @param document what the document is, such as {@code settings}
	 * @param faults the faults, at least one
	 * @return the error
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
	 * Returns the faults.
	 * @return the faults in order of their place, at least one
	 */
	public List<DocumentFault> faults() {
		return this.faults;
	}

}
