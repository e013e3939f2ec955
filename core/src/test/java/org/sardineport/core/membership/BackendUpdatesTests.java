package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.quarantine.StrikeKey;
import org.sardineport.core.quarantine.Suspect;
import org.sardineport.core.request.Fingerprint;

import static org.assertj.core.api.Assertions.assertThat;

class BackendUpdatesTests {

	private static final Instant NOW = Instant.parse("2026-12-03T08:00:00Z");

	private static final BackendServerId WORKER = BackendServerId.of("worker");

	private final BackendUpdates updates = new BackendUpdates();

	private static StrikeUpdate strike(Duration remaining) {
		return new StrikeUpdate(new StrikeKey(Suspect.request(Fingerprint.of(1, 2)), new BackendProcess(WORKER, NOW)),
				remaining);
	}

	@Test
	void addsStrikeOnceAndSendsItsRemainingTime() {
		assertThat(this.updates.add(strike(Duration.ofSeconds(60)), NOW)).isTrue();
		assertThat(this.updates.add(strike(Duration.ofSeconds(60)), NOW.plusSeconds(1))).isFalse();
		assertThat(this.updates.takeStrikes(4, 3, NOW.plusSeconds(20))).containsExactly(strike(Duration.ofSeconds(40)));
	}

	@Test
	void addsStrikeAgainAfterItExpired() {
		this.updates.add(strike(Duration.ofSeconds(60)), NOW);
		assertThat(this.updates.takeStrikes(4, 3, NOW.plusSeconds(60))).isEmpty();
		this.updates.removeExpired(NOW.plusSeconds(60));
		assertThat(this.updates.add(strike(Duration.ofSeconds(60)), NOW.plusSeconds(61))).isTrue();
	}

	@Test
	void sendsLeavingUpdateWithItsAge() {
		assertThat(this.updates.add(LeavingUpdate.ofAnyProcess(WORKER, Duration.ofSeconds(2)), NOW)).isTrue();
		assertThat(this.updates.takeLeaving(4, 3, NOW.plusSeconds(3)))
			.containsExactly(LeavingUpdate.ofAnyProcess(WORKER, Duration.ofSeconds(5)));
	}

	@Test
	void rejectsLeavingUpdateAtRetention() {
		assertThat(this.updates.add(LeavingUpdate.ofAnyProcess(WORKER, BackendUpdates.LEAVING_RETENTION), NOW))
			.isFalse();
	}

	// Guards against a backend server that starts again under its name and crashes again,
	// of which the other daemons never hear.
	@Test
	void addsAStrikeForEachProcessOfABackendServer() {
		StrikeKey second = new StrikeKey(Suspect.request(Fingerprint.of(1, 2)),
				new BackendProcess(WORKER, NOW.plusSeconds(5)));
		assertThat(this.updates.add(strike(Duration.ofSeconds(60)), NOW)).isTrue();
		assertThat(this.updates.add(new StrikeUpdate(second, Duration.ofSeconds(60)), NOW)).isTrue();
		assertThat(this.updates.takeStrikes(4, 3, NOW)).hasSize(2);
	}

}
