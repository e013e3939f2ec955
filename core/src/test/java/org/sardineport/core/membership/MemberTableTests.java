package org.sardineport.core.membership;

import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

import static org.assertj.core.api.Assertions.assertThat;

class MemberTableTests {

	private static final Instant NOW = Instant.parse("2026-12-03T08:00:00Z");

	private static final NetworkAddress ADDRESS = NetworkAddress.of("10.0.0.1", 7000);

	private static final DaemonId OTHER = DaemonId.of("other");

	private final MemberTable table = new MemberTable(DaemonId.of("self"));

	private static Member other(long incarnation, MemberStatus status, long version, int load) {
		return new Member(OTHER, incarnation, status, FailureDomain.of("bole"), ADDRESS, ADDRESS, version, load);
	}

	@ParameterizedTest(name = "known {1}@{0}, received {3}@{2}: {4}")
	@CsvSource({ "5, ALIVE, 5, SUSPECT, SUSPECT", "5, SUSPECT, 5, ALIVE, SUSPECT", "5, SUSPECT, 6, ALIVE, ALIVE",
			"5, ALIVE, 4, DEAD, ALIVE", "5, DEAD, 5, ALIVE, DEAD", "5, DEAD, 6, ALIVE, ALIVE",
			"5, LEAVING, 5, SUSPECT, LEAVING", "5, LEAVING, 5, DEAD, DEAD", "5, ALIVE, 5, LEAVING, LEAVING",
			"5, LEAVING, 6, ALIVE, ALIVE" })
	void laterIncarnationOrMoreSevereStatusSupersedes(long knownIncarnation, MemberStatus known,
			long receivedIncarnation, MemberStatus received, MemberStatus expected) {
		this.table.apply(other(knownIncarnation, known, 0, 0), false, NOW);
		this.table.apply(other(receivedIncarnation, received, 0, 0), false, NOW);
		assertThat(this.table.peer(OTHER).status()).isEqualTo(expected);
	}

	@Test
	void takesLoadOnlyFromDaemonItselfAndNeverLowersVersion() {
		this.table.apply(other(5, MemberStatus.ALIVE, 10, 50), true, NOW);
		this.table.apply(other(5, MemberStatus.ALIVE, 12, 90), false, NOW);
		assertThat(this.table.peer(OTHER).member()).isEqualTo(other(5, MemberStatus.ALIVE, 12, 50));
		this.table.apply(other(5, MemberStatus.ALIVE, 11, 20), true, NOW);
		assertThat(this.table.peer(OTHER).member()).isEqualTo(other(5, MemberStatus.ALIVE, 12, 20));
	}

	@Test
	void deathOfUnknownDaemonChangesNothing() {
		assertThat(this.table.apply(other(5, MemberStatus.DEAD, 0, 0), false, NOW)).isEqualTo(MemberTable.Change.NONE);
		assertThat(this.table.present()).isEmpty();
	}

	@Test
	void removesDeadDaemonAfterRetention() {
		this.table.apply(other(5, MemberStatus.DEAD, 0, 0), false, NOW);
		this.table.removeExpiredDead(NOW.plus(MemberTable.DEAD_RETENTION));
		assertThat(this.table.peer(OTHER)).isNotNull();
		this.table.removeExpiredDead(NOW.plus(MemberTable.DEAD_RETENTION).plusMillis(1));
		assertThat(this.table.peer(OTHER)).isNull();
		assertThat(this.table.ringSuccessor()).isNull();
	}

	@Test
	void ringSuccessorSkipsSuspectedDaemon() {
		this.table.apply(other(5, MemberStatus.ALIVE, 0, 0), false, NOW);
		assertThat(this.table.ringSuccessor()).isNotNull();
		this.table.peer(OTHER).suspectLocally(true, NOW);
		assertThat(this.table.ringSuccessor()).isNull();
	}

}
