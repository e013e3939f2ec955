package org.sardineport.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.request.Fingerprint;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against quarantine of a request that only one backend server failed on, and
 * against strikes that count too long or are shared without end.
 */
class StrikeRegistryTests {

	private static final Instant NOW = Instant.ofEpochSecond(1_000_000);

	private static final Fingerprint REQUEST = Fingerprint.of(1, 2);

	private static final BackendServerId FIRST = BackendServerId.of("s1");

	private static final BackendServerId SECOND = BackendServerId.of("s2");

	private final List<QuarantineEvent> events = new ArrayList<>();

	private final StrikeRegistry registry = StrikeRegistry.create(this.events::add);

	@Test
	void repeatedStrikesOfOneServerDoNotQuarantine() {
		for (int i = 0; i < 10; i++) {
			this.registry.strike(REQUEST, FIRST, NOW.plusSeconds(i));
		}
		assertThat(this.registry.quarantinedUntil(REQUEST, NOW.plusSeconds(10))).isEmpty();
	}

	@Test
	void twoServersQuarantineUntilTheFirstStrikeExpires() {
		this.registry.strike(REQUEST, FIRST, NOW);
		this.registry.strike(REQUEST, SECOND, NOW.plusSeconds(60));
		assertThat(this.registry.quarantinedUntil(REQUEST, NOW.plusSeconds(60))).contains(NOW.plusSeconds(600));
		assertThat(this.registry.quarantinedUntil(REQUEST, NOW.plusSeconds(600))).isEmpty();
	}

	@Test
	void strikesFromOtherDaemonsCount() {
		this.registry.strike(REQUEST, FIRST, NOW);
		this.registry.accept(new Strike(REQUEST, SECOND, NOW.plusSeconds(100)), NOW);
		assertThat(this.registry.quarantinedUntil(REQUEST, NOW)).contains(NOW.plusSeconds(100));
	}

	@Test
	void receivedStrikeExpiresNoLaterThanALocalOne() {
		this.registry.strike(REQUEST, FIRST, NOW);
		this.registry.accept(new Strike(REQUEST, SECOND, NOW.plus(Duration.ofDays(1))), NOW);
		assertThat(this.registry.quarantinedUntil(REQUEST, NOW.plusSeconds(601))).isEmpty();
	}

	@Test
	void clearingDropsEarlierStrikes() {
		this.registry.strike(REQUEST, FIRST, NOW);
		this.registry.clear(REQUEST, NOW);
		this.registry.strike(REQUEST, SECOND, NOW);
		assertThat(this.registry.quarantinedUntil(REQUEST, NOW)).isEmpty();
	}

	@Test
	void sharesAStrikeALimitedNumberOfTimes() {
		this.registry.strike(REQUEST, FIRST, NOW);
		int shares = 0;
		while (!this.registry.toShare(10).isEmpty() && shares < 1000) {
			shares++;
		}
		assertThat(shares).isBetween(2, 100);
	}

	@Test
	void reportsWhatHappensToTheStrikesOfARequest() {
		this.registry.strike(REQUEST, FIRST, NOW);
		this.registry.strike(REQUEST, FIRST, NOW);
		this.registry.accept(new Strike(REQUEST, SECOND, NOW.plusSeconds(100)), NOW);
		this.registry.accept(new Strike(REQUEST, SECOND, NOW.plusSeconds(100)), NOW);
		this.registry.clear(REQUEST, NOW);
		this.registry.strike(REQUEST, FIRST, NOW);
		this.registry.expire(NOW.plusSeconds(600));
		assertThat(this.events).extracting(QuarantineEvent::kind)
			.containsExactly(QuarantineEventKind.STRIKE_RECORDED, QuarantineEventKind.STRIKE_REPEATED,
					QuarantineEventKind.STRIKE_RECEIVED, QuarantineEventKind.BEGAN, QuarantineEventKind.CLEARED,
					QuarantineEventKind.STRIKE_RECORDED, QuarantineEventKind.EXPIRED);
		assertThat(this.events).extracting(QuarantineEvent::strikes).containsExactly(1, 1, 2, 2, 0, 1, 0);
	}

}
