package org.sardineport.core.configuration;

import java.util.Objects;

/**
 * Result of evaluating a record. All replicas that replay the same stream reach the same
 * verdict for the same offset.
 *
 * @param offset offset of the record
 * @param kind kind of result
 * @param token token of the publication; empty for an unreadable record
 * @param operator operator who published it; empty for an unreadable record
 * @param reason reason for the verdict; empty if accepted
 * @param remedy what the operator can do; empty if accepted
 */
public record Verdict(long offset, VerdictKind kind, String token, String operator, String reason, String remedy) {

	/**
	 * Creates the verdict.
	 */
	public Verdict {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(token, "token must not be null");
		Objects.requireNonNull(operator, "operator must not be null");
		Objects.requireNonNull(reason, "reason must not be null");
		Objects.requireNonNull(remedy, "remedy must not be null");
	}

	static Verdict accepted(long offset, Publication publication) {
		return new Verdict(offset, VerdictKind.ACCEPTED, publication.token(), publication.operator(), "", "");
	}

	static Verdict conflict(long offset, Publication publication, String reason) {
		return new Verdict(offset, VerdictKind.CONFLICT, publication.token(), publication.operator(), reason,
				"Look at the difference to what is in force now, and publish again.");
	}

	static Verdict invalid(long offset, Publication publication, String reason, String remedy) {
		return new Verdict(offset, VerdictKind.INVALID, publication.token(), publication.operator(), reason, remedy);
	}

	static Verdict unreadable(long offset, UnreadableRecord unreadable) {
		return new Verdict(offset, VerdictKind.UNREADABLE, "", "", unreadable.reason(),
				"Publish with the command line of this system, and nothing else, to this stream.");
	}

	/**
	 * Returns whether the publication took effect.
	 * @return whether the kind is {@link VerdictKind#ACCEPTED}
	 */
	public boolean isAccepted() {
		return this.kind == VerdictKind.ACCEPTED;
	}

}
