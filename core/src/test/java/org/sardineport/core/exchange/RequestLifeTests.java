package org.sardineport.core.exchange;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.port.backend.BackendFailure;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The life of a request: dispatch is entered at most once.
 */
class RequestLifeTests {

	@Test
	void walksFromReceivedToCompleted() {
		RequestLife life = RequestLife.create();
		for (RequestPhase next : List.of(RequestPhase.ADMITTED, RequestPhase.WAITING, RequestPhase.DISPATCHED,
				RequestPhase.COMPLETED)) {
			assertThat(life.tryEnter(next)).as(next.name()).isTrue();
		}
		assertThat(life.phase()).isEqualTo(RequestPhase.COMPLETED);
	}

	@Test
	void noPathLeadsFromDispatchedBackToAnEarlierPhase() {
		List<RequestPhase> reached = new ArrayList<>(List.of(RequestPhase.DISPATCHED));
		for (int i = 0; i < reached.size(); i++) {
			for (RequestPhase next : RequestPhase.values()) {
				if (reached.get(i).mayBecome(next) && !reached.contains(next)) {
					reached.add(next);
				}
			}
		}
		assertThat(reached).doesNotContain(RequestPhase.RECEIVED, RequestPhase.ADMITTED, RequestPhase.WAITING);
	}

	@ParameterizedTest
	@EnumSource(RequestPhase.class)
	void finalPhasesAreNeverLeft(RequestPhase phase) {
		for (RequestPhase next : RequestPhase.values()) {
			assertThat(phase.isFinal() && phase.mayBecome(next)).isFalse();
		}
	}

	@ParameterizedTest
	@EnumSource(RequestPhase.class)
	void anyPhaseBeforeTheEndMayFail(RequestPhase phase) {
		assertThat(phase.mayBecome(RequestPhase.FAILED)).isEqualTo(!phase.isFinal());
	}

	@ParameterizedTest
	@EnumSource(BackendFailure.class)
	void onlyAConnectionThatWasNeverMadeLetsARequestWaitAgain(BackendFailure failure) {
		RequestLife life = dispatched();
		assertThat(life.tryReturnToWaiting(failure)).isEqualTo(failure == BackendFailure.NOT_CONNECTED);
		assertThat(life.phase().isBeforeDispatch()).isEqualTo(failure == BackendFailure.NOT_CONNECTED);
	}

	@ParameterizedTest
	@EnumSource(RequestPhase.class)
	void notRunMayBeToldOfPhasesBeforeDispatchOnly(RequestPhase phase) {
		boolean before = phase == RequestPhase.RECEIVED || phase == RequestPhase.ADMITTED
				|| phase == RequestPhase.WAITING;
		assertThat(phase.isBeforeDispatch()).isEqualTo(before);
	}

	private static RequestLife dispatched() {
		RequestLife life = RequestLife.create();
		life.tryEnter(RequestPhase.ADMITTED);
		life.tryEnter(RequestPhase.WAITING);
		life.tryEnter(RequestPhase.DISPATCHED);
		return life;
	}

}
