package org.sardineport.core.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;

import static org.assertj.core.api.Assertions.assertThat;

class VersionHistoryTests {

	private static final PoolName POOL = PoolName.of("pool");

	private static final SoftwareVersion V1 = SoftwareVersion.of("v1");

	private static final SoftwareVersion V2 = SoftwareVersion.of("v2");

	private Instant now = Instant.EPOCH;

	private final VersionHistory history = VersionHistory.create(() -> this.now);

	private void listed(SoftwareVersion... versions) {
		List<BackendServer> servers = new ArrayList<>();
		for (SoftwareVersion version : versions) {
			servers.add(new BackendServer(BackendServerId.of("server-" + version), BackendKind.MODEL_ENGINE, POOL,
					FailureDomain.of("d0"), NetworkAddress.of("10.0.0.2", 1), 4)
				.withSoftwareVersion(version));
		}
		this.history.listed(servers);
	}

	private void pass(Duration time) {
		this.now = this.now.plus(time);
	}

	// The first daemon of a new fleet must not wait until it may make a statement.
	@Test
	void versionListedBeforeAnyStatementIsTheOnlyOne() {
		listed(V1);
		assertThat(this.history.isMixed()).isFalse();
		assertThat(this.history.soleVersions(SoleVersions.NONE)).containsOnly(Map.entry(POOL, V1));
	}

	@Test
	void poolIsMixedUntilTheFormerVersionIsLongGone() {
		listed(V1);
		listed(V1, V2);
		pass(Duration.ofSeconds(1));
		listed(V2);
		assertThat(this.history.isMixed()).isTrue();
		SoleVersions stored = new SoleVersions(1, Map.of(POOL, V1));
		assertThat(this.history.soleVersions(stored)).isEmpty();
		pass(VersionHistory.RETENTION);
		listed(V2);
		assertThat(this.history.isMixed()).isFalse();
		assertThat(this.history.soleVersions(new SoleVersions(2, Map.of()))).containsOnly(Map.entry(POOL, V2));
	}

	// All servers were replaced while no daemon ran, and streams of the former ones may
	// still be taken up.
	@Test
	void restartedDaemonTrustsTheStatementAndNotItsFirstRead() {
		listed(V2);
		assertThat(this.history.soleVersions(new SoleVersions(1, Map.of(POOL, V1)))).isEmpty();
		assertThat(this.history.soleVersions(new SoleVersions(1, Map.of()))).isEmpty();
		assertThat(this.history.soleVersions(new SoleVersions(1, Map.of(POOL, V2)))).containsEntry(POOL, V2);
	}

	@Test
	void statementAboutAPoolThatIsNotListedStays() {
		Map<PoolName, SoftwareVersion> other = Map.of(PoolName.of("other"), V1);
		listed(V1);
		assertThat(this.history.soleVersions(new SoleVersions(1, other))).isEqualTo(other);
	}

}
