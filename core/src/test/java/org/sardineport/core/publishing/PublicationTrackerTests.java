package org.sardineport.core.publishing;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.configuration.Verdict;
import org.sardineport.core.configuration.VerdictKind;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.publishing.PublicationTracker.Step;

import static org.assertj.core.api.Assertions.assertThat;

class PublicationTrackerTests {

	private static Verdict verdict(VerdictKind kind) {
		return new Verdict(7, kind, "token", "operator", "reason", "remedy");
	}

	@ParameterizedTest
	@EnumSource
	void derivesStepsAndOutcomeFromLogEvents(Scenario scenario) {
		PublicationTracker settlement = PublicationTracker.create("token");
		List<Step> steps = new ArrayList<>(List.of(settlement.nextStep()));
		for (LogEvent event : scenario.events) {
			event.apply(settlement);
			steps.add(settlement.nextStep());
		}
		assertThat(steps).containsExactly(scenario.steps);
		assertThat(settlement.outcome()).isEqualTo(scenario.outcome);
	}

	@Test
	void verdictsOnOtherPublicationsAreIgnored() {
		PublicationTracker settlement = PublicationTracker.create("token");
		settlement.onVerdicts(List.of(new Verdict(3, VerdictKind.ACCEPTED, "other", "operator", "", "")));
		assertThat(settlement.verdict()).isEmpty();
	}

	enum LogEvent {

		APPEND_ACKNOWLEDGED {
			@Override
			void apply(PublicationTracker settlement) {
				settlement.appended();
			}
		},
		APPEND_RESULT_UNKNOWN {
			@Override
			void apply(PublicationTracker settlement) {
				settlement.onAppendFailed(LogFailure.UNKNOWN);
			}
		},
		APPEND_UNAVAILABLE {
			@Override
			void apply(PublicationTracker settlement) {
				settlement.onAppendFailed(LogFailure.UNAVAILABLE);
			}
		},
		READ_WITHOUT_VERDICT {
			@Override
			void apply(PublicationTracker settlement) {
				settlement.onVerdicts(List.of());
				settlement.readToEnd();
			}
		},
		ACCEPTED {
			@Override
			void apply(PublicationTracker settlement) {
				settlement.onVerdicts(List.of(verdict(VerdictKind.ACCEPTED)));
			}
		},
		CONFLICT {
			@Override
			void apply(PublicationTracker settlement) {
				settlement.onVerdicts(List.of(verdict(VerdictKind.CONFLICT)));
			}
		},
		INVALID {
			@Override
			void apply(PublicationTracker settlement) {
				settlement.onVerdicts(List.of(verdict(VerdictKind.INVALID)));
			}
		};

		abstract void apply(PublicationTracker settlement);

	}

	enum Scenario {

		NOTHING_APPENDED(PublicationOutcome.NOT_PUBLISHED, List.of(), Step.APPEND),
		ACKNOWLEDGED_AND_ACCEPTED(PublicationOutcome.ACCEPTED, List.of(LogEvent.APPEND_ACKNOWLEDGED, LogEvent.ACCEPTED),
				Step.APPEND, Step.READ, Step.FINISHED),
		LOG_UNAVAILABLE(PublicationOutcome.NOT_PUBLISHED, List.of(LogEvent.APPEND_UNAVAILABLE), Step.APPEND,
				Step.APPEND),
		RESPONSE_LOST_AFTER_APPEND(PublicationOutcome.ACCEPTED,
				List.of(LogEvent.APPEND_RESULT_UNKNOWN, LogEvent.ACCEPTED), Step.APPEND, Step.READ, Step.FINISHED),
		REQUEST_LOST_THEN_RETRIED(PublicationOutcome.ACCEPTED,
				List.of(LogEvent.APPEND_RESULT_UNKNOWN, LogEvent.READ_WITHOUT_VERDICT, LogEvent.APPEND_ACKNOWLEDGED,
						LogEvent.ACCEPTED),
				Step.APPEND, Step.READ, Step.APPEND, Step.READ, Step.FINISHED),
		RESULT_UNKNOWN_AND_LOG_NOT_READ(PublicationOutcome.UNKNOWN, List.of(LogEvent.APPEND_RESULT_UNKNOWN),
				Step.APPEND, Step.READ),
		RESULT_UNKNOWN_AND_NO_VERDICT(PublicationOutcome.UNKNOWN,
				List.of(LogEvent.APPEND_RESULT_UNKNOWN, LogEvent.READ_WITHOUT_VERDICT), Step.APPEND, Step.READ,
				Step.APPEND),
		RESULT_UNKNOWN_THEN_LOG_UNAVAILABLE(PublicationOutcome.UNKNOWN,
				List.of(LogEvent.APPEND_RESULT_UNKNOWN, LogEvent.READ_WITHOUT_VERDICT, LogEvent.APPEND_UNAVAILABLE),
				Step.APPEND, Step.READ, Step.APPEND, Step.READ),
		ACKNOWLEDGED_BUT_READS_LAG(PublicationOutcome.UNKNOWN,
				List.of(LogEvent.APPEND_ACKNOWLEDGED, LogEvent.READ_WITHOUT_VERDICT), Step.APPEND, Step.READ,
				Step.READ),
		BOTH_COPIES_IN_LOG(PublicationOutcome.ACCEPTED,
				List.of(LogEvent.APPEND_RESULT_UNKNOWN, LogEvent.READ_WITHOUT_VERDICT, LogEvent.APPEND_ACKNOWLEDGED,
						LogEvent.ACCEPTED, LogEvent.CONFLICT),
				Step.APPEND, Step.READ, Step.APPEND, Step.READ, Step.FINISHED, Step.FINISHED),
		CONFLICTING_PUBLICATION_FIRST(PublicationOutcome.CONFLICT,
				List.of(LogEvent.APPEND_ACKNOWLEDGED, LogEvent.CONFLICT), Step.APPEND, Step.READ, Step.FINISHED),
		INVALID_WITHOUT_OUTSTANDING_COPY(PublicationOutcome.INVALID,
				List.of(LogEvent.APPEND_ACKNOWLEDGED, LogEvent.INVALID), Step.APPEND, Step.READ, Step.FINISHED),
		INVALID_WITH_OUTSTANDING_COPY(
				PublicationOutcome.UNKNOWN, List.of(LogEvent.APPEND_RESULT_UNKNOWN, LogEvent.READ_WITHOUT_VERDICT,
						LogEvent.APPEND_ACKNOWLEDGED, LogEvent.INVALID),
				Step.APPEND, Step.READ, Step.APPEND, Step.READ, Step.FINISHED);

		private final PublicationOutcome outcome;

		private final List<LogEvent> events;

		private final Step[] steps;

		Scenario(PublicationOutcome outcome, List<LogEvent> events, Step... steps) {
			this.outcome = outcome;
			this.events = events;
			this.steps = steps;
		}

	}

}
