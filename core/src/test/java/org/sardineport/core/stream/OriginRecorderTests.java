package org.sardineport.core.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;

import static org.assertj.core.api.Assertions.assertThat;

class OriginRecorderTests {

	private static final PoolName POOL = PoolName.of("pool");

	private static final SoftwareVersion V1 = SoftwareVersion.of("v1");

	private Instant now = Instant.EPOCH;

	private final Store store = new Store();

	private final VersionHistory history = VersionHistory.create(() -> this.now);

	private OriginRecorder recorder = recorder(snapshot(1, 0));

	private OriginRecorder recorder(FleetSnapshot snapshot) {
		return OriginRecorder.create(() -> snapshot, this.history, this.store, () -> this.now, Runnable::run);
	}

	private static FleetSnapshot snapshot(int daemons, int self) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < daemons; i++) {
			NetworkAddress address = NetworkAddress.of("10.0.0.1", 1 + i);
			members.add(new Member(DaemonId.of("daemon-" + i), 1, MemberStatus.ALIVE, FailureDomain.of("d0"), address,
					address, 0, 0));
		}
		return new FleetSnapshot(DaemonId.of("daemon-" + self), members, List.of());
	}

	private static StoredOrigin origin(int number) {
		return new StoredOrigin(new StreamKey(0, number), RunOrigin.begun(number, V1));
	}

	private void listed(SoftwareVersion version) {
		this.history.listed(List.of(new BackendServer(BackendServerId.of("one"), BackendKind.MODEL_ENGINE, POOL,
				FailureDomain.of("d0"), NetworkAddress.of("10.0.0.2", 1), 4)
			.withSoftwareVersion(version)));
	}

	private void pass(Duration time) {
		Instant end = this.now.plus(time);
		while (this.now.isBefore(end)) {
			this.now = this.now.plusMillis(20);
			this.recorder.tick();
		}
	}

	// Each call to the store is priced, whatever it carries.
	@Test
	void callsDoNotGrowWithTheStreams() {
		for (int i = 0; i < 2_000; i++) {
			this.recorder.add(origin(i));
			pass(Duration.ofMillis(1));
		}
		pass(OriginRecorder.APPEND_INTERVAL);
		assertThat(this.store.appended).hasSize(2_000).doesNotHaveDuplicates();
		long intervals = Duration.between(Instant.EPOCH, this.now).dividedBy(OriginRecorder.APPEND_INTERVAL);
		assertThat(this.store.appends).isLessThanOrEqualTo((int) intervals + 1);
	}

	@Test
	void failedAppendIsMadeAgainLater() {
		this.store.fails = true;
		this.recorder.add(origin(1));
		pass(OriginRecorder.APPEND_INTERVAL);
		this.store.fails = false;
		pass(OriginRecorder.RETRY_AFTER.minusMillis(100));
		assertThat(this.store.appended).isEmpty();
		pass(Duration.ofMillis(200));
		assertThat(this.store.appended).containsExactly(origin(1));
	}

	// A store that is down for long must not fill the memory.
	@Test
	void waitingOriginsAreBounded() {
		for (int i = 0; i < OriginRecorder.MAXIMUM_WAITING; i++) {
			assertThat(this.recorder.add(origin(i))).isTrue();
		}
		assertThat(this.recorder.add(origin(-1))).isFalse();
	}

	@Test
	void oneDaemonOfTheFleetMakesTheStatement() {
		listed(V1);
		int writers = 0;
		for (int i = 0; i < 8; i++) {
			this.store.statement = SoleVersions.NONE;
			this.now = Instant.EPOCH;
			this.recorder = recorder(snapshot(8, i));
			pass(OriginRecorder.START_DELAY.plusSeconds(1));
			writers += this.store.statement.isInitial() ? 0 : 1;
		}
		assertThat(writers).isOne();
		assertThat(this.store.reads).isOne();
	}

	@Test
	void statementIsReadAgainAfterAnotherDaemonHasReplacedIt() {
		listed(V1);
		this.store.statement = new SoleVersions(4, Map.of(POOL, V1));
		pass(OriginRecorder.START_DELAY.plusSeconds(1));
		assertThat(this.store.statement.revision()).isEqualTo(4);
		this.store.statement = new SoleVersions(5, Map.of(POOL, V1));
		listed(SoftwareVersion.of("v2"));
		pass(OriginRecorder.RETRY_AFTER.plusSeconds(1));
		assertThat(this.store.statement).isEqualTo(new SoleVersions(6, Map.of()));
	}

	/**
	 * Guards against a statement that names one version of a pool with two, as the store
	 * came back from a copy older than its correction.
	 */
	@Test
	void statementIsCorrectedAgainAfterTheStoreLostTheCorrection() {
		listed(V1);
		SoleVersions copy = new SoleVersions(4, Map.of(POOL, V1));
		this.store.statement = copy;
		listed(SoftwareVersion.of("v2"));
		pass(OriginRecorder.START_DELAY.plusSeconds(1));
		assertThat(this.store.statement.versions()).isEmpty();
		this.store.statement = copy;
		this.store.era++;
		pass(OriginRecorder.RETRY_AFTER.plusSeconds(1));
		assertThat(this.store.statement.versions()).isEmpty();
	}

	// In steady state there is nothing to write.
	@Test
	void unchangedStatementCostsNoCalls() {
		listed(V1);
		pass(OriginRecorder.START_DELAY.plusSeconds(1));
		int calls = this.store.reads + this.store.replacements;
		pass(Duration.ofSeconds(30));
		assertThat(this.store.reads + this.store.replacements).isEqualTo(calls).isEqualTo(2);
	}

	/**
	 * Store in memory that answers at once.
	 */
	private static final class Store implements OriginStore {

		private final List<StoredOrigin> appended = new ArrayList<>();

		private SoleVersions statement = SoleVersions.NONE;

		private boolean fails;

		private int appends;

		private int reads;

		private int replacements;

		private long era = 1;

		@Override
		public long era() {
			return this.era;
		}

		@Override
		public CompletionStage<StreamRecord> find(StreamKey key) {
			throw new AssertionError("the recorder looks nothing up");
		}

		@Override
		public CompletionStage<Void> append(List<StoredOrigin> origins) {
			this.appends++;
			if (this.fails) {
				return CompletableFuture.failedFuture(new IllegalStateException("down"));
			}
			this.appended.addAll(origins);
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public CompletionStage<SoleVersions> soleVersions() {
			this.reads++;
			return CompletableFuture.completedFuture(this.statement);
		}

		@Override
		public CompletionStage<SoleVersions> replace(SoleVersions stored, Map<PoolName, SoftwareVersion> next) {
			this.replacements++;
			if (stored.revision() != this.statement.revision()) {
				return CompletableFuture.failedFuture(new IllegalStateException("replaced"));
			}
			this.statement = new SoleVersions(stored.revision() + 1, next);
			return CompletableFuture.completedFuture(this.statement);
		}

	}

}
