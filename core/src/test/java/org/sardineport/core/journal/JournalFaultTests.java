package org.sardineport.core.journal;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.journal.ModelStep.Kind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs one durable request and injects a fault after each of its steps. After every step
 * the simulation checks that the request ran at most once and that no caller got a false
 * not-run; at the end, that every caller got an outcome.
 */
class JournalFaultTests {

	/** Steps of a request without faults. */
	private static final List<Kind> FAULT_FREE_STEPS = List.of(Kind.ARRIVE, Kind.APPEND, Kind.READ, Kind.DISPATCH,
			Kind.APPEND, Kind.READ, Kind.SEND, Kind.COMPLETE, Kind.APPEND, Kind.READ);

	private static ModelSimulation after(int steps, Kind... more) {
		ModelSimulation simulation = new ModelSimulation(ModelVariant.SOUND, more.length, 2);
		FAULT_FREE_STEPS.subList(0, steps).forEach((kind) -> simulation.apply(new ModelStep(kind, 0)));
		for (Kind kind : more) {
			simulation.apply(new ModelStep(kind, 0));
		}
		return simulation;
	}

	private static void settle(ModelSimulation simulation) {
		simulation.endFaults();
		while (simulation.settleOneStep()) {
			continue;
		}
	}

	/**
	 * Step after which the daemon crashes or is paused, and the number of runs expected
	 * once the other daemon, which gets the same request, has finished.
	 */
	enum After {

		NOTHING(0, 1), ARRIVAL(1, 1), ACCEPTED_APPENDED(2, 1), ACCEPTED_READ(3, 1), DISPATCH_REQUESTED(4, 1),
		DISPATCHED_APPENDED(5, 0), DISPATCHED_READ(6, 0), SENT(7, 1), COMPLETED(8, 1), FINISHED_APPENDED(9, 1),
		FINISHED_READ(10, 1);

		private final int steps;

		private final int runs;

		After(int steps, int runs) {
			this.steps = steps;
			this.runs = runs;
		}

	}

	@ParameterizedTest
	@EnumSource
	void runsAsExpectedWhenDaemonCrashes(After after) {
		ModelSimulation simulation = after(after.steps, Kind.CRASH);
		settle(simulation);
		assertThat(simulation.runs()).isEqualTo(after.runs);
	}

	@ParameterizedTest
	@EnumSource
	void runsOnceWhenDaemonIsPausedLongerThanAnyLease(After after) {
		ModelSimulation simulation = after(after.steps, Kind.SUSPECT);
		simulation.settleAllBut(0);
		settle(simulation);
		assertThat(simulation.runs()).isEqualTo(1);
	}

	/**
	 * Append that fails, identified by the number of steps before it.
	 */
	enum Append {

		ACCEPTED(1), DISPATCHED(4), FINISHED(8);

		private final int steps;

		Append(int steps) {
			this.steps = steps;
		}

	}

	@ParameterizedTest
	@EnumSource
	void runsOnceWhenAppendIsLost(Append append) {
		ModelSimulation simulation = after(append.steps, Kind.APPEND_LOST);
		settle(simulation);
		assertThat(simulation.runs()).isEqualTo(1);
	}

	@ParameterizedTest
	@EnumSource
	void runsOnceWhenAppendResponseIsLost(Append append) {
		ModelSimulation simulation = after(append.steps, Kind.APPEND_RESPONSE_LOST);
		settle(simulation);
		assertThat(simulation.runs()).isEqualTo(1);
	}

	@ParameterizedTest
	@EnumSource
	void runsOnceWhenAppendIsDelayed(Append append) {
		ModelSimulation simulation = after(append.steps, Kind.APPEND_LATE);
		settle(simulation);
		assertThat(simulation.runs()).isEqualTo(1);
	}

	@ParameterizedTest
	@EnumSource
	void runsOnceWhenDaemonCrashesDuringOutage(Append append) {
		ModelSimulation simulation = after(append.steps, Kind.APPEND_REFUSED, Kind.CRASH);
		settle(simulation);
		assertThat(simulation.runs()).isEqualTo(1);
	}

	@ParameterizedTest
	@EnumSource
	void runsAtMostOnceWhenDaemonCrashesWithAppendInFlight(Append append) {
		ModelSimulation simulation = after(append.steps, Kind.APPEND_LATE, Kind.CRASH);
		settle(simulation);
		assertThat(simulation.runs()).isLessThanOrEqualTo(1);
	}

}
