package org.sardineport.daemon.platform;

import java.time.Duration;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.port.platform.VmList;
import org.sardineport.core.port.platform.VmListException;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.core.port.platform.VmState;
import org.sardineport.standins.vm.VmListStandIn;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Contract of {@link VmList} implementations, with and without injected faults.
 */
abstract class VmListContract {

	private static final NetworkAddress ENTRY = NetworkAddress.of("10.1.0.11", 8082);

	private static final BackendServer ENGINE = new BackendServer(BackendServerId.of("engine-1"),
			BackendKind.MODEL_ENGINE, PoolName.of("dictionary"), FailureDomain.of("bole"),
			NetworkAddress.of("10.1.0.21", 9000), 16);

	// Returns the implementation under test.
	abstract VmList list();

	// Returns the stand-in of the platform.
	abstract VmListStandIn platform();

	@Test
	void isEmptyInitially() {
		VmListing listing = fetch();
		assertThat(listing.entryVms()).isEmpty();
		assertThat(listing.backendServers()).isEmpty();
	}

	@Test
	void listsEntryVmsAndBackendServers() {
		platform().putEntryVm(ENTRY, VmState.LIVE);
		platform().putBackendServer(ENGINE, VmState.LEAVING);
		VmListing listing = fetch();
		assertThat(listing.entryVms()).containsExactly(new VmListing.EntryVm(ENTRY, VmState.LIVE));
		assertThat(listing.backendServers()).containsExactly(new VmListing.ListedBackend(ENGINE, VmState.LEAVING));
	}

	// Without the version, servers of different versions would be treated as equal.
	@Test
	void listsTheSoftwareVersion() {
		BackendServer versioned = ENGINE.withSoftwareVersion(SoftwareVersion.of("v1.1"));
		platform().putBackendServer(versioned, VmState.LIVE);
		assertThat(fetch().backendServers()).containsExactly(new VmListing.ListedBackend(versioned, VmState.LIVE));
	}

	@Test
	void followsChanges() {
		platform().putEntryVm(ENTRY, VmState.LIVE);
		platform().putEntryVm(ENTRY, VmState.LEAVING);
		platform().putBackendServer(ENGINE, VmState.LIVE);
		platform().removeBackendServer(ENGINE.id());
		VmListing listing = fetch();
		assertThat(listing.entryVms()).containsExactly(new VmListing.EntryVm(ENTRY, VmState.LEAVING));
		assertThat(listing.backendServers()).isEmpty();
	}

	@Test
	void showsAnOlderStateWhileItLags() {
		platform().putEntryVm(ENTRY, VmState.LIVE);
		platform().setLag(Duration.ofHours(1));
		platform().putBackendServer(ENGINE, VmState.LIVE);
		assertThat(fetch().backendServers()).isEmpty();
		platform().setLag(Duration.ZERO);
		assertThat(fetch().backendServers()).hasSize(1);
	}

	@Test
	void failsWhileTheListIsUnavailable() {
		platform().setUnavailable(true);
		assertThatThrownBy(() -> list().fetch().toCompletableFuture().join()).isInstanceOf(CompletionException.class)
			.hasCauseInstanceOf(VmListException.class);
		platform().setUnavailable(false);
		assertThat(fetch().entryVms()).isEmpty();
	}

	private VmListing fetch() {
		return list().fetch().toCompletableFuture().join();
	}

}
