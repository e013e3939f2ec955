package org.sardineport.core.journal;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

class IdempotencyKeysTests {

	private static final Instant NOW = Instant.ofEpochMilli(0x0198_0000_0000L + 1000);

	/** UUID version 7 issued one second before {@code NOW}. */
	private static final String UUID_7 = "01980000-0000-7abc-8def-0123456789ab";

	private static final IdempotencyKeys KEYS = IdempotencyKeys.of(Duration.ofHours(1));

	private static KeyParseResult read(String key, String issuedAt, Instant now) {
		return KEYS.read(KeyedRequests.ORGANISATION, key, issuedAt, now);
	}

	/**
	 * Combination of key, issue time and clock that is refused.
	 */
	enum Case {

		NO_KEY(null, null, NOW, RefusalReason.KEY_REQUIRED), BLANK_KEY(" ", null, NOW, RefusalReason.KEY_REQUIRED),
		NO_TIME("order-7", null, NOW, RefusalReason.KEY_INVALID),
		UUID_VERSION_4("01980000-0000-4abc-8def-0123456789ab", null, NOW, RefusalReason.KEY_INVALID),
		WRONG_VARIANT("01980000-0000-7abc-0def-0123456789ab", null, NOW, RefusalReason.KEY_INVALID),
		TIME_NOT_A_DATE("order-7", "yesterday", NOW, RefusalReason.KEY_INVALID),
		SPACE_IN_KEY("order 7", NOW.toString(), NOW, RefusalReason.KEY_INVALID),
		TOO_LONG("k".repeat(129), NOW.toString(), NOW, RefusalReason.KEY_INVALID),
		TOO_OLD(UUID_7, null, NOW.plus(Duration.ofHours(1)), RefusalReason.KEY_OUT_OF_WINDOW),
		FROM_THE_FUTURE(UUID_7, null, NOW.minusSeconds(12), RefusalReason.KEY_OUT_OF_WINDOW);

		private final String key;

		private final String issuedAt;

		private final Instant now;

		private final RefusalReason reason;

		Case(String key, String issuedAt, Instant now, RefusalReason reason) {
			this.key = key;
			this.issuedAt = issuedAt;
			this.now = now;
			this.reason = reason;
		}

	}

	@ParameterizedTest
	@EnumSource
	void refuses(Case refused) {
		assertThat(read(refused.key, refused.issuedAt, refused.now))
			.isInstanceOfSatisfying(KeyParseResult.Refused.class, (reading) -> {
				assertThat(reading.refusal().reason()).isEqualTo(refused.reason);
				assertThat(reading.refusal().outcome())
					.isEqualTo((refused == Case.TOO_OLD) ? Outcome.UNKNOWN : Outcome.NOT_RUN);
			});
	}

	@Test
	void readsIssueTimeFromUuidVersion7() {
		assertThat(read(UUID_7, "2000-01-01T00:00:00Z", NOW)).isEqualTo(
				new KeyParseResult.Valid(new IdempotencyKey(KeyedRequests.ORGANISATION, UUID_7, NOW.minusSeconds(1))));
	}

	@Test
	void readsQuotedKeyWithIssueTimeHeader() {
		assertThat(read("\"order-7\"", NOW.toString(), NOW))
			.isEqualTo(new KeyParseResult.Valid(new IdempotencyKey(KeyedRequests.ORGANISATION, "order-7", NOW)));
	}

}
