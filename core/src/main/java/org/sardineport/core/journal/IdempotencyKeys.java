package org.sardineport.core.journal;

import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Objects;
import java.util.UUID;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * Reads idempotency keys from request headers. Refuses keys whose issue time is outside
 * the replay window, because the journal cannot know whether they were used before.
 * Immutable.
 */
public final class IdempotencyKeys {

	/** Header that carries the key. */
	public static final String KEY_HEADER = "Idempotency-Key";

	/** Header that carries the issue time of a key that is not a UUID version 7. */
	public static final String ISSUED_AT_HEADER = "Sardineport-Issued-At";

	private static final Pattern UUID_VERSION_7 = Pattern
		.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

	private static final int NON_TIME_BITS = 16;

	private final JournalLimits limits;

	private IdempotencyKeys(JournalLimits limits) {
		this.limits = Objects.requireNonNull(limits, "limits must not be null");
	}

	/**
	 * Returns a reader of keys.
	 * @param replayWindow age up to which the journal keeps keys
	 * @return the reader
	 */
	public static IdempotencyKeys of(Duration replayWindow) {
		return new IdempotencyKeys(JournalLimits.of(replayWindow));
	}

	static IdempotencyKeys of(JournalLimits limits) {
		return new IdempotencyKeys(limits);
	}

	/**
	 * Reads the key of a request that requires one.
	 * @param organisation the organisation that sent it
	 * @param key value of {@link #KEY_HEADER}, with or without double quotes
	 * @param issuedAt value of {@link #ISSUED_AT_HEADER}, as in
	 * {@code 2026-12-03T20:15:30Z}; ignored if the key is a UUID version 7
	 * @param now the current time
	 * @return the key, or a refusal
	 */
	public KeyParseResult read(OrganisationId organisation, @Nullable String key, @Nullable String issuedAt,
			Instant now) {
		if (key == null || key.isBlank()) {
			return refused(Refusal.of(RefusalReason.KEY_REQUIRED,
					"The request is not idempotent and has no %s.".formatted(KEY_HEADER)));
		}
		String text = unquoted(key.strip());
		Instant issued = (UUID_VERSION_7.matcher(text).matches()) ? timeOf(text) : parseTime(issuedAt);
		if (issued == null) {
			return refused(Refusal.of(RefusalReason.KEY_INVALID,
					"The key is not a UUID version 7 and has no valid %s.".formatted(ISSUED_AT_HEADER)));
		}
		return check(organisation, text, issued, now);
	}

	private KeyParseResult check(OrganisationId organisation, String text, Instant issued, Instant now) {
		Refusal refusal = refusalByAge(issued, now);
		if (refusal != null) {
			return refused(refusal);
		}
		try {
			return new KeyParseResult.Valid(new IdempotencyKey(organisation, text, issued));
		}
		catch (IllegalArgumentException ex) {
			return refused(Refusal.of(RefusalReason.KEY_INVALID, "The " + ex.getMessage() + "."));
		}
	}

	@Nullable Refusal refusalByAge(Instant issued, Instant now) {
		if (issued.isAfter(now.plus(this.limits.clockTolerance()))) {
			return Refusal.of(RefusalReason.KEY_OUT_OF_WINDOW, "The key is from the future.");
		}
		if (issued.isBefore(now.minus(this.limits.replayWindow()))) {
			return new Refusal(RefusalReason.KEY_OUT_OF_WINDOW, "The key is older than what the journal remembers.",
					Outcome.UNKNOWN, null);
		}
		return null;
	}

	private static KeyParseResult refused(Refusal refusal) {
		return new KeyParseResult.Refused(refusal);
	}

	private static String unquoted(String text) {
		boolean quoted = text.length() > 1 && text.startsWith("\"") && text.endsWith("\"");
		return (quoted) ? text.substring(1, text.length() - 1) : text;
	}

	private static Instant timeOf(String uuid) {
		return Instant.ofEpochMilli(UUID.fromString(uuid).getMostSignificantBits() >>> NON_TIME_BITS);
	}

	private static @Nullable Instant parseTime(@Nullable String text) {
		if (text == null) {
			return null;
		}
		try {
			return Instant.parse(text.strip());
		}
		catch (DateTimeParseException ex) {
			return null;
		}
	}

}
