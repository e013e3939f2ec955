package org.sardineport.core.rollout;

import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;

import static org.assertj.core.api.Assertions.assertThat;

class ConfirmedVersionsTests {

	private static final PoolName POOL = PoolName.of("pool");

	private final ConfirmedVersions versions = ConfirmedVersions.create();

	// A version was used as any other as its order had not been read yet.
	@Test
	void newVersionWaitsForTheOrdersToBeRead() {
		this.versions.listed(servers("v1"));
		this.versions.ordersRead();
		this.versions.listed(servers("v1", "v2"));
		assertThat(this.versions.unconfirmed(POOL)).containsExactly(SoftwareVersion.of("v2"));
		this.versions.ordersRead();
		assertThat(this.versions.unconfirmed(POOL)).isEmpty();
	}

	// A daemon that started served nobody until it had read the orders twice.
	@Test
	void firstListingDoesNotWait() {
		this.versions.listed(servers("v1"));
		assertThat(this.versions.unconfirmed(POOL)).isEmpty();
		this.versions.listed(servers("v1", "v2"));
		assertThat(this.versions.unconfirmed(POOL)).isEmpty();
	}

	@Test
	void onlyVersionDoesNotWait() {
		this.versions.listed(servers("v1"));
		this.versions.ordersRead();
		this.versions.listed(servers("v2"));
		assertThat(this.versions.unconfirmed(POOL)).isEmpty();
	}

	private static List<BackendServer> servers(String... versions) {
		return Arrays.stream(versions)
			.map((version) -> new BackendServer(BackendServerId.of("s-" + version), BackendKind.MODEL_ENGINE, POOL,
					FailureDomain.of("a"), NetworkAddress.of("127.0.0.1", 1), 1, BackendServer.START_UNKNOWN,
					SoftwareVersion.of(version)))
			.toList();
	}

}
