package org.sardineport.settings.yaml;

import java.util.ArrayList;
import java.util.List;

import org.sardineport.core.error.DocumentFault;
import org.sardineport.core.error.InvalidDocumentException;

/**
 * Gathers the faults of one document. Not safe for use by several threads.
 */
public final class FaultList {

	/** Most faults that are kept; a document with more is hardly read to the end. */
	private static final int MAXIMUM_FAULTS = 100;

	/** Longest quotation of what was found, in characters. */
	private static final int MAXIMUM_QUOTATION = 60;

	private final List<DocumentFault> faults = new ArrayList<>();

	private FaultList() {
	}

	/**
	 * Returns an empty list.
	 * @return the list
	 */
	public static FaultList create() {
		return new FaultList();
	}

	/**
	 * Adds a fault.
	 * @param path where it is
	 * @param line line, from 1; 0 for none
	 * @param found what stands there; never a secret
	 * @param remedy what to write instead
	 */
	public void add(String path, int line, String found, String remedy) {
		if (this.faults.size() < MAXIMUM_FAULTS) {
			this.faults.add(new DocumentFault(path, line, found, remedy));
		}
	}

	/**
	 * Returns whether no fault was added.
	 * @return whether the list is empty
	 */
	public boolean isEmpty() {
		return this.faults.isEmpty();
	}

	/**
	 * Fails if a fault was added.
	 * @param document what the document is
	 * @throws InvalidDocumentException with all faults
	 */
	public void throwIfAny(String document) throws InvalidDocumentException {
		if (!this.faults.isEmpty()) {
			throw InvalidDocumentException.of(document, this.faults);
		}
	}

	/**
	 * Quotes a text that was found, shortened and without control characters.
	 * @param text the text
	 * @return the quotation
	 */
	static String quoted(String text) {
		String shortened = (text.length() > MAXIMUM_QUOTATION) ? text.substring(0, MAXIMUM_QUOTATION) + "..." : text;
		return "'" + shortened.replaceAll("\\p{Cntrl}", "?") + "'";
	}

}
