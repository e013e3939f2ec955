package org.sardineport.core.journal;

/**
 * Location of a stored answer in the log.
 *
 * @param key hash of the key of the request
 * @param token hash of the claim under which the request ran
 * @param offset offset of its first record
 */
public record ResponseLocation(KeyHash key, long token, long offset) {

	/**
	 * Returns whether an entry has the same key and claim as the answer.
	 * @param entry the entry
	 * @return whether it belongs to the same run
	 */
	public boolean matches(JournalEntry entry) {
		return KeyHash.ofToken(entry.token()) == this.token
				&& KeyHash.of(entry.organisation(), entry.key()).equals(this.key);
	}

}
