package org.sardineport.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.settings.DaemonSettings;
import org.sardineport.standins.engine.EngineOptions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a leaving backend server receives no new requests after 3 s, whether its own
 * load report or the VM list announces that it is leaving.
 */
class LeavingBackendTests {

	private static final Duration MAX_LEAVING_DELAY = Duration.ofSeconds(3);

	private static final int CALLERS = 6;

	private static final int REQUESTS_AFTER_BOUND = 100;

	private FleetFixture fleet;

	private final List<EntryCaller> callers = new ArrayList<>();

	private final List<Thread> threads = new ArrayList<>();

	@BeforeEach
	void start() throws Exception {
		this.fleet = new FleetFixture(3, EngineOptions.fast());
		this.fleet.awaitReady();
		for (int i = 0; i < CALLERS; i++) {
			EntryCaller caller = new EntryCaller("caller" + i,
					this.fleet.settings.stream().map(DaemonSettings::callerAddress).toList(), FleetFixture.KEEP_TIME,
					100, i);
			this.callers.add(caller);
			this.threads.add(new Thread(caller, "caller" + i));
		}
		this.threads.forEach(Thread::start);
	}

	@AfterEach
	void stop() throws Exception {
		this.fleet.close();
	}

	@ParameterizedTest
	@EnumSource(Announcement.class)
	void receivesNoNewRequestsAfterTheBound(Announcement announcement) throws Exception {
		FleetFixture.awaitCondition(() -> this.fleet.dispatched(0) > 0 && this.fleet.dispatched(1) > 0);
		Instant announcedAt = Instant.now();
		announcement.announce.accept(this.fleet);
		FleetFixture.awaitCondition(() -> Instant.now().isAfter(announcedAt.plus(MAX_LEAVING_DELAY)));
		int dispatchedAtBound = this.fleet.dispatched(0);
		int completedAtBound = completedRequests();
		FleetFixture.awaitCondition(() -> completedRequests() >= completedAtBound + REQUESTS_AFTER_BOUND);
		assertThat(this.fleet.dispatched(0)).isEqualTo(dispatchedAtBound);
		this.callers.forEach(EntryCaller::finish);
		for (Thread thread : this.threads) {
			thread.join();
		}
		assertThat(this.callers).flatExtracting(EntryCaller::failures).isEmpty();
	}

	private int completedRequests() {
		return this.callers.stream().mapToInt(EntryCaller::completed).sum();
	}

	/**
	 * Sources that announce that a backend server is leaving.
	 */
	enum Announcement {

		LOAD_REPORT((fleet) -> fleet.engines.get(0).setLeaving(true)),

		VM_LIST((fleet) -> fleet.listLeaving(0)),

		LOAD_REPORT_WHILE_VM_LIST_IS_UNAVAILABLE((fleet) -> {
			fleet.vmList.setUnavailable(true);
			fleet.engines.get(0).setLeaving(true);
		});

		private final Consumer<FleetFixture> announce;

		Announcement(Consumer<FleetFixture> announce) {
			this.announce = announce;
		}

	}

}
