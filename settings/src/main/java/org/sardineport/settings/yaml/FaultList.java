package org.sardineport.settings.yaml;

import java.util.ArrayList;
import java.util.List;

import org.sardineport.core.error.DocumentFault;
import org.sardineport.core.error.InvalidDocumentException;

/**
 * Collects the faults of one document. Not thread-safe.
 */
public final class FaultList {

	/** Maximum number of faults reported for a document; further ones are discarded. */
	private static final int MAX_FAULTS = 100;

	/** Maximum number of characters quoted from a value. */
	private static final int MAX_QUOTED_CHARACTERS = 60;

	private final List<DocumentFault> faults = new ArrayList<>();

	private FaultList() {
	}

	/**
	 * Creates an empty list.
	 * @return the list
	 */
	public static FaultList create() {
		return new FaultList();
	}

	/**
	 * Adds a fault, unless the list already holds 100.
	 * @param path path of the value within the document
	 * @param line line of the value, starting at 1; 0 if there is none
	 * @param found description of the value found; must not contain a secret
	 * @param remedy description of a valid value
	 */
	public void add(String path, int line, String found, String remedy) {
		if (this.faults.size() < MAX_FAULTS) {
			this.faults.add(new DocumentFault(path, line, found, remedy));
		}
	}

	/**
	 * Returns whether the list contains no faults.
	 * @return whether the list is empty
	 */
	public boolean isEmpty() {
		return this.faults.isEmpty();
	}

	/**
	 * Throws an exception if the list contains faults.
	 * @param document kind of the document, for the message
	 * @throws InvalidDocumentException if there are faults; contains all of them
	 */
	public void throwIfAny(String document) throws InvalidDocumentException {
		if (!this.faults.isEmpty()) {
			throw InvalidDocumentException.of(document, this.faults);
		}
	}

	/**
	 * Quotes a text. Control characters are replaced by question marks, and a text of
	 * more than 60 characters is truncated.
	 * @param text the text
	 * @return the quoted text
	 */
	static String quote(String text) {
		String shortened = (text.length() > MAX_QUOTED_CHARACTERS) ? text.substring(0, MAX_QUOTED_CHARACTERS) + "..."
				: text;
		return "'" + shortened.replaceAll("\\p{Cntrl}", "?") + "'";
	}

}
