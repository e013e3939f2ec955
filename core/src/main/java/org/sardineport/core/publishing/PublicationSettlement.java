package org.sardineport.core.publishing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.configuration.Verdict;
import org.sardineport.core.port.log.LogFailure;

/**
 * Finds out what became of a publication whose append may have lost its answer. The log
 * is read for the publication's own token first. If it is not there, the same record is
 * appended again: at most one copy can be accepted, since the first accepted copy changes
 * its profiles after the version that all copies are based on. Not safe for use by
 * several threads.
 */
public final class PublicationSettlement {

	private final String token;

	/** Appends that may be in the log, or may still get there. */
	private int copies;

	/** Appends that the log has answered. */
	private boolean appended;

	private int copiesJudged;

	private boolean readToEnd;

	private @Nullable Verdict verdict;

	private PublicationSettlement(String token) {
		this.token = Objects.requireNonNull(token, "token must not be null");
	}

	/**
	 * Returns the settlement of a publication that was not appended yet.
	 * @param token token of the publication
	 * @return the settlement
	 */
	public static PublicationSettlement create(String token) {
		return new PublicationSettlement(token);
	}

	/**
	 * Tells that an append was answered.
	 */
	public void appended() {
		this.copies++;
		this.appended = true;
		this.readToEnd = false;
	}

	/**
	 * Tells that an append failed.
	 * @param failure how it failed
	 */
	public void appendFailed(LogFailure failure) {
		this.copies += failure.isCertainlyNotApplied() ? 0 : 1;
		this.readToEnd = false;
	}

	/**
	 * Tells of verdicts that were reached while the log was read.
	 * @param verdicts the verdicts in order of offset
	 */
	public void judged(List<Verdict> verdicts) {
		for (Verdict next : verdicts) {
			if (next.token().equals(this.token)) {
				this.copiesJudged++;
				this.verdict = (this.verdict == null || next.isAccepted()) ? next : this.verdict;
			}
		}
	}

	/**
	 * Tells that the log was read to its end after the last append.
	 */
	public void readToEnd() {
		this.readToEnd = true;
	}

	/**
	 * Returns what to do next.
	 * @return the step
	 */
	public Step next() {
		if (this.verdict != null) {
			return Step.FINISHED;
		}
		boolean unread = this.copies > 0 && !this.readToEnd;
		return (unread || this.appended) ? Step.READ : Step.APPEND;
	}

	/**
	 * Returns the verdict on the publication.
	 * @return the verdict, or empty while none was reached
	 */
	public Optional<Verdict> verdict() {
		return Optional.ofNullable(this.verdict);
	}

	/**
	 * Returns what can be said if nothing more is tried.
	 * @return the outcome
	 */
	public PublicationOutcome outcome() {
		if (this.verdict == null) {
			return (this.copies == 0) ? PublicationOutcome.NOT_PUBLISHED : PublicationOutcome.UNKNOWN;
		}
		return switch (this.verdict.kind()) {
			case ACCEPTED -> PublicationOutcome.ACCEPTED;
			case CONFLICT -> PublicationOutcome.CONFLICT;
			// A copy that comes later may find room that this one did not find.
			case INVALID, UNREADABLE ->
				(this.copies > this.copiesJudged) ? PublicationOutcome.UNKNOWN : PublicationOutcome.INVALID;
		};
	}

	/**
	 * What to do next.
	 */
	public enum Step {

		/** Append the record. */
		APPEND,

		/** Read the log to its end. */
		READ,

		/** Nothing: the verdict is known. */
		FINISHED

	}

}
