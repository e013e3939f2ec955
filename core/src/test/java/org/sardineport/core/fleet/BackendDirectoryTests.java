package org.sardineport.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.core.port.platform.VmState;

import static org.assertj.core.api.Assertions.assertThat;

class BackendDirectoryTests {

	private static final Instant START = Instant.parse("2026-12-03T08:00:00Z");

	private Instant now = START;

	private final BackendDirectory directory = BackendDirectory.create(() -> this.now);

	private static BackendServer server(String name) {
		return new BackendServer(BackendServerId.of(name), BackendKind.PLAIN_SERVICE, PoolName.of("ledger"),
				FailureDomain.of("lalitpur"), NetworkAddress.of("10.0.0.1", 80), 1);
	}

	private static VmListing listing(Instant asOf, VmState one, VmState two) {
		return new VmListing(asOf, List.of(), List.of(new VmListing.ListedBackend(server("one"), one),
				new VmListing.ListedBackend(server("two"), two)));
	}

	private LoadReport report(String name, boolean leaving) {
		return new LoadReport(BackendServerId.of(name), 0, 0, 0, leaving, false, this.now);
	}

	@BeforeEach
	void listBoth() {
		this.directory.updateListing(listing(START, VmState.LIVE, VmState.LIVE));
	}

	@Test
	void nothingIsEligibleBeforeFirstListing() {
		assertThat(BackendDirectory.create(() -> START).eligible()).isEmpty();
	}

	@Test
	void excludesServerListedAsLeaving() {
		assertThat(this.directory.eligible()).containsExactly(server("one"), server("two"));
		this.directory.updateListing(listing(START.plusSeconds(1), VmState.LEAVING, VmState.LIVE));
		assertThat(this.directory.eligible()).containsExactly(server("two"));
	}

	// Each message and tick compares what is eligible with what was published; a list of
	// thousands must not be put together for it.
	@Test
	void eligibleServersAreTheSameListWhileNothingChanges() {
		VmListing first = listing(START.plusSeconds(1), VmState.LIVE, VmState.LIVE);
		this.directory.updateListing(first);
		List<BackendServer> before = this.directory.eligible();
		this.directory.updateListing(new VmListing(START.plusSeconds(2), List.of(), first.backendServers()));
		assertThat(this.directory.eligible()).isSameAs(before);
		this.directory.recordLeaving(server("one").process());
		assertThat(this.directory.eligible()).containsExactly(server("two"));
	}

	private VmListing withoutOne(Instant asOf) {
		return withoutOne(asOf, null);
	}

	private VmListing withoutOne(Instant asOf, @Nullable Instant availableSince) {
		return new VmListing(asOf, List.of(), List.of(new VmListing.ListedBackend(server("two"), VmState.LIVE)),
				availableSince);
	}

	@Test
	void restartedServerIsEligibleDespiteLeavingReportOfReplacedProcess() {
		this.directory.handleReport(report("one", true));
		assertThat(this.directory.eligible()).containsExactly(server("two"));
		BackendServer former = server("one");
		BackendServer restarted = new BackendServer(former.id(), former.kind(), former.pool(), former.failureDomain(),
				former.address(), former.nominalConcurrency(), START.plusSeconds(1));
		this.directory.updateListing(new VmListing(START.plusSeconds(2), List.of(),
				List.of(new VmListing.ListedBackend(restarted, VmState.LIVE))));
		assertThat(this.directory.eligible()).containsExactly(restarted);
	}

	@Test
	void excludesServerMissingFromListing() {
		this.directory.updateListing(withoutOne(START.plusSeconds(1)));
		assertThat(this.directory.eligible()).containsExactly(server("two"));
	}

	@Test
	void retainsServerThatLapsedDuringOutageForGracePeriod() {
		this.directory.listingFailed();
		this.now = START.plusSeconds(5);
		this.directory.updateListing(withoutOne(this.now));
		assertThat(this.directory.eligible()).containsExactlyInAnyOrder(server("one"), server("two"));
		this.now = this.now.plus(BackendDirectory.OUTAGE_GRACE);
		assertThat(this.directory.eligible()).containsExactly(server("two"));
	}

	// A server that left right after an outage got new work for longer than permitted, as
	// the next fetch of the list noticed the end of the outage late.
	@Test
	void gracePeriodBeginsWhenTheSourceWasAvailableAgain() {
		this.directory.listingFailed();
		Instant available = START.plusSeconds(4);
		this.now = START.plusSeconds(5);
		this.directory.updateListing(withoutOne(this.now, available));
		this.now = available.plus(BackendDirectory.OUTAGE_GRACE).minusMillis(1);
		assertThat(this.directory.eligible()).containsExactlyInAnyOrder(server("one"), server("two"));
		this.now = available.plus(BackendDirectory.OUTAGE_GRACE);
		assertThat(this.directory.eligible()).containsExactly(server("two"));
	}

	@Test
	void gracePeriodDoesNotBeginBeforeTheLastFailure() {
		this.now = START.plusSeconds(4);
		this.directory.listingFailed();
		this.directory.updateListing(withoutOne(this.now, START));
		this.now = this.now.plus(BackendDirectory.OUTAGE_GRACE).minusMillis(1);
		assertThat(this.directory.eligible()).containsExactlyInAnyOrder(server("one"), server("two"));
	}

	@Test
	void excludesServerListedAsLeavingAfterOutage() {
		this.directory.listingFailed();
		this.directory.updateListing(listing(START.plusSeconds(5), VmState.LEAVING, VmState.LIVE));
		assertThat(this.directory.eligible()).containsExactly(server("two"));
	}

	@Test
	void ignoresOlderListing() {
		this.directory.updateListing(listing(START.plusSeconds(2), VmState.LEAVING, VmState.LIVE));
		assertThat(this.directory.updateListing(listing(START.plusSeconds(1), VmState.LIVE, VmState.LIVE))).isFalse();
		assertThat(this.directory.eligible()).containsExactly(server("two"));
	}

	@Test
	void excludesServerThatReportsLeavingWhileListedAsLive() {
		assertThat(this.directory.handleReport(report("one", true))).isTrue();
		assertThat(this.directory.handleReport(report("one", true))).as("reported only once").isFalse();
		this.directory.updateListing(listing(START.plusSeconds(5), VmState.LIVE, VmState.LIVE));
		assertThat(this.directory.eligible()).containsExactly(server("two"));
	}

	@Test
	void includesServerAgainWhenItReportsNotLeaving() {
		this.directory.handleReport(report("one", true));
		this.directory.handleReport(report("one", false));
		assertThat(this.directory.eligible()).containsExactly(server("one"), server("two"));
	}

	@Test
	void leavingReportExpiresUnlessRepeated() {
		Duration half = BackendDirectory.LEAVING_REPORT_RETENTION.dividedBy(2).plusSeconds(1);
		this.directory.handleReport(report("one", true));
		this.now = this.now.plus(half);
		this.directory.handleReport(report("one", true));
		this.now = this.now.plus(half);
		assertThat(this.directory.eligible()).containsExactly(server("two"));
		this.now = this.now.plus(half);
		assertThat(this.directory.eligible()).containsExactly(server("one"), server("two"));
	}

	@Test
	void excludesServerReportedLeavingByAnotherDaemon() {
		this.directory.recordLeaving(BackendServerId.of("two"), Duration.ofSeconds(1));
		assertThat(this.directory.eligible()).containsExactly(server("one"));
	}

	private static BackendServer process(String name, long startedAt) {
		return new BackendServer(BackendServerId.of(name), BackendKind.PLAIN_SERVICE, PoolName.of("ledger"),
				FailureDomain.of("lalitpur"), NetworkAddress.of("10.0.0.1", 80), 1, Instant.ofEpochMilli(startedAt));
	}

	private void list(long asOfSeconds, long startedAt) {
		this.directory.updateListing(new VmListing(START.plusSeconds(asOfSeconds), List.of(),
				List.of(new VmListing.ListedBackend(process("one", startedAt), VmState.LIVE))));
	}

	@Test
	void processThatIsLeavingStaysExcludedUntilTheNextOneIsListed() {
		list(1, 1);
		assertThat(this.directory.recordLeaving(process("one", 1).process())).isTrue();
		assertThat(this.directory.recordLeaving(process("one", 1).process())).isFalse();
		this.now = this.now.plus(BackendDirectory.LEAVING_REPORT_RETENTION.multipliedBy(10));
		list(2, 1);
		assertThat(this.directory.eligible()).isEmpty();
		list(3, 2);
		assertThat(this.directory.eligible()).containsExactly(process("one", 2));
		list(4, 1);
		assertThat(this.directory.eligible()).isEmpty();
	}

	@Test
	void newVersionUnderTheNameIsTheNextProcessIfStartsAreNotListed() {
		this.directory.recordLeaving(server("one").process());
		assertThat(this.directory.eligible()).containsExactly(server("two"));
		BackendServer next = new BackendServer(BackendServerId.of("one"), BackendKind.PLAIN_SERVICE,
				PoolName.of("ledger"), FailureDomain.of("lalitpur"), NetworkAddress.of("10.0.0.1", 80), 1,
				BackendServer.START_UNKNOWN, SoftwareVersion.of("v2"));
		this.directory.updateListing(new VmListing(START.plusSeconds(1), List.of(),
				List.of(new VmListing.ListedBackend(next, VmState.LIVE))));
		assertThat(this.directory.eligible()).containsExactly(next);
	}

	// Without listed starts, a server that came back under its name with the same version
	// stayed excluded at the daemon that its former process had told of its leaving.
	@Test
	void serverThatWasNotListedMeanwhileIsTheNextProcessIfStartsAreNotListed() {
		this.directory.recordLeaving(server("one").process());
		this.directory.updateListing(withoutOne(START.plusSeconds(1)));
		this.directory.updateListing(listing(START.plusSeconds(2), VmState.LIVE, VmState.LIVE));
		assertThat(this.directory.eligible()).containsExactly(server("one"), server("two"));
	}

	@Test
	void entryThatLapsesInAnOutageIsNoEndOfALeavingProcess() {
		this.directory.recordLeaving(server("one").process());
		this.directory.listingFailed();
		this.now = START.plusSeconds(5);
		this.directory.updateListing(withoutOne(this.now));
		this.now = this.now.plusMillis(500);
		this.directory.updateListing(listing(this.now, VmState.LIVE, VmState.LIVE));
		this.now = this.now.plus(BackendDirectory.OUTAGE_GRACE);
		assertThat(this.directory.eligible()).containsExactly(server("two"));
	}

	@Test
	void leavingProcessThatIsNotListedAgainWithinTheGracePeriodHasEnded() {
		this.directory.recordLeaving(server("one").process());
		this.directory.listingFailed();
		this.now = START.plusSeconds(5);
		this.directory.updateListing(withoutOne(this.now));
		this.now = this.now.plus(BackendDirectory.OUTAGE_GRACE);
		this.directory.updateListing(withoutOne(this.now));
		this.now = this.now.plusSeconds(1);
		this.directory.updateListing(listing(this.now, VmState.LIVE, VmState.LIVE));
		assertThat(this.directory.eligible()).containsExactly(server("one"), server("two"));
	}

}
