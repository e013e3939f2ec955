package org.sardineport.core.journal;

import java.time.Duration;

import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * Refusals of the journal. The outcome is {@link Outcome#NOT_RUN} only if the log, read
 * up to a record of this attempt, shows that the request did not run. Otherwise an
 * attempt with the same key may have reached another daemon.
 */
final class JournalRefusals {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private JournalRefusals() {
	}

	static Refusal notReady() {
		return new Refusal(RefusalReason.JOURNAL_UNAVAILABLE,
				"The journal has not been read yet; this try was not run, and whether an earlier one was is not known.",
				Outcome.UNKNOWN, RETRY_AFTER);
	}

	static Refusal busy() {
		return new Refusal(RefusalReason.JOURNAL_BUSY,
				"Too many entries wait for the log; this try was not run, and whether an earlier one was is not known.",
				Outcome.UNKNOWN, RETRY_AFTER);
	}

	static Refusal released() {
		return new Refusal(RefusalReason.JOURNAL_UNAVAILABLE, "The log did not take the request in time.",
				Outcome.NOT_RUN, RETRY_AFTER);
	}

	static Refusal unsettled() {
		return new Refusal(RefusalReason.JOURNAL_UNSETTLED, "The log could not be read in time.", Outcome.UNKNOWN,
				RETRY_AFTER);
	}

	static Refusal reused() {
		return Refusal.of(RefusalReason.KEY_REUSED, "The key belongs to a different request.");
	}

	static Refusal tooLarge(int maximumBytes) {
		return Refusal.of(RefusalReason.BODY_TOO_LARGE,
				"The journal keeps durable requests of at most %d bytes.".formatted(maximumBytes));
	}

	static Refusal forgotten() {
		return new Refusal(RefusalReason.KEY_OUT_OF_WINDOW, "The key is older than what the journal remembers.",
				Outcome.UNKNOWN, null);
	}

}
