package org.sardineport.daemon.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.fleet.ListRead;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.core.port.platform.VmState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards when the VM list is read, and which reads prove the version of a backend server.
 */
class VmListReadsTests {

	private static final Instant START = Instant.ofEpochSecond(100);

	private static final BackendServer SERVER = new BackendServer(BackendServerId.of("one"), BackendKind.MODEL_ENGINE,
			PoolName.of("pool"), FailureDomain.of("zone"), NetworkAddress.of("127.0.0.1", 1), 1)
		.withSoftwareVersion(SoftwareVersion.of("v1"));

	private int wakeUps;

	private final VmListReads reads = new VmListReads(Duration.ofSeconds(1), () -> this.wakeUps++);

	private static VmListing listing(BackendServer server, VmState state) {
		return new VmListing(START, List.of(), List.of(new VmListing.ListedBackend(server, state)));
	}

	private void readAt(Instant time) {
		assertThat(this.reads.beginIfDue(time)).isTrue();
		this.reads.completed(listing(SERVER, VmState.LIVE));
	}

	@Test
	void readsAtTheIntervalAndNotDuringARead() {
		assertThat(this.reads.beginIfDue(START)).isTrue();
		assertThat(this.reads.beginIfDue(START.plusSeconds(5))).isFalse();
		this.reads.completed(listing(SERVER, VmState.LIVE));
		assertThat(this.reads.beginIfDue(START.plusMillis(999))).isFalse();
		assertThat(this.reads.beginIfDue(START.plusMillis(1000))).isTrue();
	}

	// The membership thread sleeps until then, and would sleep through an early read.
	@Test
	void tellsWhenTheNextReadIsDue() {
		assertThat(this.reads.untilDue(START)).isZero();
		assertThat(this.reads.beginIfDue(START)).isTrue();
		assertThat(this.reads.untilDue(START)).isGreaterThan(Duration.ofHours(1));
		this.reads.completed(listing(SERVER, VmState.LIVE));
		assertThat(this.reads.untilDue(START.plusMillis(300))).isEqualTo(Duration.ofMillis(700));
		this.reads.readSoon();
		this.reads.readSoon();
		assertThat(this.wakeUps).isEqualTo(1);
		assertThat(this.reads.untilDue(START.plusMillis(300))).isEqualTo(Duration.ofMillis(200));
	}

	// Requests for early reads must not exhaust the store's calls.
	@Test
	void readsEarlyOnceAndNotMoreThanTwiceInASecond() {
		readAt(START);
		this.reads.readSoon();
		assertThat(this.reads.beginIfDue(START.plusMillis(499))).isFalse();
		readAt(START.plusMillis(500));
		assertThat(this.reads.beginIfDue(START.plusMillis(1400))).isFalse();
	}

	// Events that continue a stream wait for a read for a second at most: after a failed
	// read, the next one came too late.
	@Test
	void readsEarlyAfterAFailedReadAndNotMoreThanTwiceInASecond() {
		readAt(START);
		assertThat(this.reads.beginIfDue(START.plusSeconds(1))).isTrue();
		this.reads.failed();
		this.reads.readSoon();
		assertThat(this.reads.beginIfDue(START.plusMillis(1499))).isFalse();
		assertThat(this.reads.beginIfDue(START.plusMillis(1500))).isTrue();
		this.reads.failed();
		assertThat(this.reads.beginIfDue(START.plusMillis(2499))).isFalse();
		assertThat(this.reads.beginIfDue(START.plusMillis(2500))).isTrue();
	}

	// A read in progress when a connection is opened may show the former process.
	@Test
	void waitsForAReadThatBeganSince() {
		assertThat(this.reads.beginIfDue(START)).isTrue();
		CompletableFuture<ListRead> since = this.reads.since(START.plusMillis(1));
		this.reads.completed(listing(SERVER, VmState.LIVE));
		assertThat(since).isNotDone();
		readAt(START.plusSeconds(1));
		assertThat(since).isDone();
		assertThat(this.reads.since(START.plusSeconds(1))).isDone();
	}

	@Test
	void showsTheVersionOfALeavingServer() {
		assertThat(ListRead.of(START, listing(SERVER, VmState.LEAVING)).showsVersion(SERVER)).isTrue();
	}

	@Test
	void doesNotShowAnotherVersionOrAServerThatIsNotListed() {
		BackendServer other = SERVER.withSoftwareVersion(SoftwareVersion.of("v2"));
		assertThat(ListRead.of(START, listing(other, VmState.LIVE)).showsVersion(SERVER)).isFalse();
		assertThat(ListRead.NONE.showsVersion(SERVER)).isFalse();
	}

	// A server that has left the list may still serve, and its streams must not be
	// closed.
	@Test
	void aServerThatIsNotListedHasNotBeenReplaced() {
		BackendServer other = SERVER.withSoftwareVersion(SoftwareVersion.of("v2"));
		assertThat(ListRead.of(START, listing(other, VmState.LIVE)).showsOtherVersion(SERVER)).isTrue();
		assertThat(ListRead.of(START, listing(SERVER, VmState.LIVE)).showsOtherVersion(SERVER)).isFalse();
		assertThat(ListRead.NONE.showsOtherVersion(SERVER)).isFalse();
	}

}
