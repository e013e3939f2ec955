package org.sardineport.core.exchange;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against wrong reasons and outcomes in the refusals of failed exchanges.
 */
class RunVerdictTests {

	@ParameterizedTest
	@EnumSource(BackendFailure.class)
	void outcomeIsNotRunOnlyIfNothingWasSent(BackendFailure failure) {
		Outcome outcome = RunVerdict.of(failure, false).refusal().outcome();
		assertThat(outcome).isEqualTo((failure.isCertainlyUnsent()) ? Outcome.NOT_RUN : Outcome.UNKNOWN);
	}

	@Test
	void distinguishesPreemptionFromCallerDisconnect() {
		assertThat(RunVerdict.of(BackendFailure.CANCELLED, true).refusal().reason()).isEqualTo(RefusalReason.PREEMPTED);
		assertThat(RunVerdict.of(BackendFailure.CANCELLED, false).refusal().reason())
			.isEqualTo(RefusalReason.CALLER_GONE);
	}

	@Test
	void preemptedRunWithBrokenConnectionIsReportedAsFailed() {
		assertThat(RunVerdict.of(BackendFailure.BROKEN, true).refusal().reason())
			.isEqualTo(RefusalReason.BACKEND_FAILED);
	}

}
