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
 * A backend server that leaves gets nothing new once the bound has passed, however the
 * fleet learns of it.
 */
class LeavingBackendTests {

	private static final Duration BOUND = Duration.ofSeconds(3);

	private static final int CALLERS = 6;

	private static final int REQUESTS_AFTERWARDS = 100;

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
	@EnumSource(Word.class)
	void getsNothingNewAfterTheBound(Word word) throws Exception {
		FleetFixture.until(() -> this.fleet.dispatched(0) > 0 && this.fleet.dispatched(1) > 0);
		Instant said = Instant.now();
		word.say.accept(this.fleet);
		FleetFixture.until(() -> Instant.now().isAfter(said.plus(BOUND)));
		int atTheBound = this.fleet.dispatched(0);
		int answered = answered();
		FleetFixture.until(() -> answered() >= answered + REQUESTS_AFTERWARDS);
		assertThat(this.fleet.dispatched(0)).isEqualTo(atTheBound);
		this.callers.forEach(EntryCaller::finish);
		for (Thread thread : this.threads) {
			thread.join();
		}
		assertThat(this.callers).flatExtracting(EntryCaller::failures).isEmpty();
	}

	private int answered() {
		return this.callers.stream().mapToInt(EntryCaller::completed).sum();
	}

	/**
	 * Ways in which the fleet learns that a backend server leaves.
	 */
	enum Word {

		ITS_OWN_LOAD_REPORT((fleet) -> fleet.engines.get(0).setLeaving(true)),

		THE_LIST((fleet) -> fleet.listLeaving(0)),

		ITS_OWN_LOAD_REPORT_WHILE_THE_LIST_IS_DOWN((fleet) -> {
			fleet.vmList.setUnavailable(true);
			fleet.engines.get(0).setLeaving(true);
		});

		private final Consumer<FleetFixture> say;

		Word(Consumer<FleetFixture> say) {
			this.say = say;
		}

	}

}
