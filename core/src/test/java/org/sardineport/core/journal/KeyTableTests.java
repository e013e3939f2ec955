package org.sardineport.core.journal;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.sardineport.core.request.Fingerprint;

import static org.assertj.core.api.Assertions.assertThat;

class KeyTableTests {

	private static final long SEED = 7;

	private static KeyHash key(Random random) {
		return new KeyHash(random.nextLong(), random.nextLong());
	}

	private static int add(KeyTable table, KeyHash key, int expirySecond, int now) {
		int row = table.add(key, Fingerprint.of(key.low(), key.high()), expirySecond, now);
		table.phase(row, RowPhase.COMPLETED);
		return row;
	}

	@Test
	void findsEveryAddedKeyAndNoOther() {
		Random random = new Random(SEED);
		KeyTable table = KeyTable.create();
		Map<KeyHash, Long> tokens = new HashMap<>();
		for (int number = 0; number < 10_000; number++) {
			KeyHash key = key(random);
			table.token(add(table, key, 100, 0), number);
			tokens.put(key, (long) number);
		}
		tokens.forEach((key, token) -> {
			int row = table.find(key);
			assertThat(table.token(row)).isEqualTo(token);
			assertThat(table.hasFingerprint(row, Fingerprint.of(key.low(), key.high()))).isTrue();
		});
		for (int number = 0; number < 10_000; number++) {
			assertThat(table.find(key(random))).isEqualTo(KeyTable.NONE);
		}
	}

	@Test
	void reusesRowsOfExpiredKeys() {
		Random random = new Random(SEED);
		KeyTable table = KeyTable.create();
		for (int second = 0; second < 100_000; second++) {
			add(table, key(random), second + 100, second);
		}
		assertThat(table.size()).isLessThan(1000);
	}

	@Test
	void keepsExpiredRowsOfRequestsInFlight() {
		Random random = new Random(SEED);
		KeyTable table = KeyTable.create();
		KeyHash held = key(random);
		table.phase(add(table, held, 1, 0), RowPhase.DISPATCHED);
		for (int second = 0; second < 1000; second++) {
			add(table, key(random), second + 1, second);
		}
		assertThat(table.find(held)).isNotEqualTo(KeyTable.NONE);
	}

}
