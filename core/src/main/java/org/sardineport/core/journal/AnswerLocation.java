package org.sardineport.core.journal;

/**
 * Where the log holds an answer.
 *
 * @param key hash of its key
 * @param token hash of the claim whose answer it is
 * @param offset offset of its first record
 */
public record AnswerLocation(KeyHash key, long token, long offset) {

	/**
	 * Returns whether an entry is part of the answer.
	 * @param entry the entry
	 * @return whether it belongs to the same run
	 */
	public boolean matches(JournalEntry entry) {
		return KeyHash.ofToken(entry.token()) == this.token
				&& KeyHash.of(entry.organisation(), entry.key()).equals(this.key);
	}

}
