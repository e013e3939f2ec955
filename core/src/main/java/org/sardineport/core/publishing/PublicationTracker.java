package org.sardineport.core.publishing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.configuration.Verdict;
import org.sardineport.core.port.log.LogFailure;

/**
 * Determines the outcome of a publication when the response to its append may have been
 * lost. The log is first read for the token of the publication. If the token is not
 * found, the same record is appended again. At most one copy can be accepted: the first
 * accepted copy changes the profiles, so the base version that all copies share is
 * outdated for the others. Not thread-safe.
 */
public final class PublicationTracker {

	private final String token;

	/** Appends that may be in the log already or may still reach it. */
	private int possibleCopies;

	/** Whether the log acknowledged an append. */
	private boolean appended;

	private int judgedCopies;

	private boolean readToEnd;

	private @Nullable Verdict verdict;

	private PublicationTracker(String token) {
		this.token = Objects.requireNonNull(token, "token must not be null");
	}

	/**
	 * Creates the initial state for a publication that has not been appended yet.
	 * @param token token of the publication
	 * @return the initial state, in which the next step is {@link Step#APPEND}
	 */
	public static PublicationTracker create(String token) {
		return new PublicationTracker(token);
	}

	/**
	 * Records that the log acknowledged an append.
	 */
	public void appended() {
		this.possibleCopies++;
		this.appended = true;
		this.readToEnd = false;
	}

	/**
	 * Records that an append failed. Unless the failure rules out that the record was
	 * written, the append counts as a possible copy.
	 * @param failure kind of the failure
	 */
	public void onAppendFailed(LogFailure failure) {
		this.possibleCopies += failure.isCertainlyNotApplied() ? 0 : 1;
		this.readToEnd = false;
	}

	/**
	 * Records verdicts found while reading the log. Verdicts on other publications are
	 * ignored. The first verdict is kept unless a later copy is accepted.
	 * @param verdicts the verdicts in order of offset
	 */
	public void onVerdicts(List<Verdict> verdicts) {
		for (Verdict next : verdicts) {
			if (next.token().equals(this.token)) {
				this.judgedCopies++;
				this.verdict = (this.verdict == null || next.isAccepted()) ? next : this.verdict;
			}
		}
	}

	/**
	 * Records that the log was read to its end after the last append.
	 */
	public void readToEnd() {
		this.readToEnd = true;
	}

	/**
	 * Returns the next step that the publisher has to take.
	 * @return the step; {@link Step#FINISHED} once a verdict is known
	 */
	public Step nextStep() {
		if (this.verdict != null) {
			return Step.FINISHED;
		}
		boolean unread = this.possibleCopies > 0 && !this.readToEnd;
		return (unread || this.appended) ? Step.READ : Step.APPEND;
	}

	/**
	 * Returns the verdict on the publication.
	 * @return the verdict, or empty while none is known
	 */
	public Optional<Verdict> verdict() {
		return Optional.ofNullable(this.verdict);
	}

	/**
	 * Returns the outcome to report if the publisher stops now.
	 * @return the outcome, {@link PublicationOutcome#UNKNOWN} if a copy may still be
	 * accepted
	 */
	public PublicationOutcome outcome() {
		if (this.verdict == null) {
			return (this.possibleCopies == 0) ? PublicationOutcome.NOT_PUBLISHED : PublicationOutcome.UNKNOWN;
		}
		return switch (this.verdict.kind()) {
			case ACCEPTED -> PublicationOutcome.ACCEPTED;
			case CONFLICT -> PublicationOutcome.CONFLICT;
			// A later copy may be accepted if it fits the size limits by then.
			case INVALID, UNREADABLE ->
				(this.possibleCopies > this.judgedCopies) ? PublicationOutcome.UNKNOWN : PublicationOutcome.INVALID;
		};
	}

	/**
	 * Next step of the publisher.
	 */
	public enum Step {

		/** Append the record. */
		APPEND,

		/** Read the log to its end. */
		READ,

		/** Stop: the verdict is known. */
		FINISHED

	}

}
