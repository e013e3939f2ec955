package org.sardineport.core.exchange;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.port.backend.BackendFailure;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against transitions that would dispatch a request again after bytes of it may
 * have been sent.
 */
class RequestLifecycleTests {

	@Test
	void passesThroughAllPhasesToCompleted() {
		RequestLifecycle life = RequestLifecycle.create();
		for (RequestPhase next : List.of(RequestPhase.ADMITTED, RequestPhase.WAITING, RequestPhase.DISPATCHED,
				RequestPhase.COMPLETED)) {
			assertThat(life.tryEnter(next)).as(next.name()).isTrue();
		}
		assertThat(life.phase()).isEqualTo(RequestPhase.COMPLETED);
	}

	@Test
	void earlierPhasesAreUnreachableFromDispatched() {
		List<RequestPhase> reached = new ArrayList<>(List.of(RequestPhase.DISPATCHED));
		for (int i = 0; i < reached.size(); i++) {
			for (RequestPhase next : RequestPhase.values()) {
				if (reached.get(i).canTransitionTo(next) && !reached.contains(next)) {
					reached.add(next);
				}
			}
		}
		assertThat(reached).doesNotContain(RequestPhase.RECEIVED, RequestPhase.ADMITTED, RequestPhase.WAITING);
	}

	@ParameterizedTest
	@EnumSource(RequestPhase.class)
	void finalPhasesHaveNoTransitions(RequestPhase phase) {
		for (RequestPhase next : RequestPhase.values()) {
			assertThat(phase.isFinal() && phase.canTransitionTo(next)).isFalse();
		}
	}

	@ParameterizedTest
	@EnumSource(RequestPhase.class)
	void everyNonFinalPhaseCanFail(RequestPhase phase) {
		assertThat(phase.canTransitionTo(RequestPhase.FAILED)).isEqualTo(!phase.isFinal());
	}

	@ParameterizedTest
	@EnumSource(BackendFailure.class)
	void returnsToWaitingOnlyAfterFailedConnect(BackendFailure failure) {
		RequestLifecycle life = dispatched();
		assertThat(life.tryReturnToWaiting(failure)).isEqualTo(failure == BackendFailure.NOT_CONNECTED);
		assertThat(life.phase().isBeforeDispatch()).isEqualTo(failure == BackendFailure.NOT_CONNECTED);
	}

	@ParameterizedTest
	@EnumSource(RequestPhase.class)
	void onlyReceivedAdmittedAndWaitingAreBeforeDispatch(RequestPhase phase) {
		boolean before = phase == RequestPhase.RECEIVED || phase == RequestPhase.ADMITTED
				|| phase == RequestPhase.WAITING;
		assertThat(phase.isBeforeDispatch()).isEqualTo(before);
	}

	private static RequestLifecycle dispatched() {
		RequestLifecycle life = RequestLifecycle.create();
		life.tryEnter(RequestPhase.ADMITTED);
		life.tryEnter(RequestPhase.WAITING);
		life.tryEnter(RequestPhase.DISPATCHED);
		return life;
	}

}
