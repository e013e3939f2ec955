package org.sardineport.core.publishing;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.configuration.Verdict;
import org.sardineport.core.configuration.VerdictKind;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.publishing.PublicationSettlement.Step;

import static org.assertj.core.api.Assertions.assertThat;

class PublicationSettlementTests {

	private static Verdict verdict(VerdictKind kind) {
		return new Verdict(7, kind, "token", "operator", "reason", "remedy");
	}

	@ParameterizedTest
	@EnumSource
	void tellsWhatCanBeTold(Course course) {
		PublicationSettlement settlement = PublicationSettlement.create("token");
		List<Step> steps = new ArrayList<>(List.of(settlement.next()));
		for (Event event : course.events) {
			event.apply(settlement);
			steps.add(settlement.next());
		}
		assertThat(steps).containsExactly(course.steps);
		assertThat(settlement.outcome()).isEqualTo(course.outcome);
	}

	@Test
	void verdictsOnOtherPublicationsDoNotCount() {
		PublicationSettlement settlement = PublicationSettlement.create("token");
		settlement.judged(List.of(new Verdict(3, VerdictKind.ACCEPTED, "other", "operator", "", "")));
		assertThat(settlement.verdict()).isEmpty();
	}

	enum Event {

		ANSWERED {
			@Override
			void apply(PublicationSettlement settlement) {
				settlement.appended();
			}
		},
		LOST {
			@Override
			void apply(PublicationSettlement settlement) {
				settlement.appendFailed(LogFailure.UNKNOWN);
			}
		},
		REFUSED {
			@Override
			void apply(PublicationSettlement settlement) {
				settlement.appendFailed(LogFailure.UNAVAILABLE);
			}
		},
		NOT_FOUND {
			@Override
			void apply(PublicationSettlement settlement) {
				settlement.judged(List.of());
				settlement.readToEnd();
			}
		},
		ACCEPTED {
			@Override
			void apply(PublicationSettlement settlement) {
				settlement.judged(List.of(verdict(VerdictKind.ACCEPTED)));
			}
		},
		CONFLICT {
			@Override
			void apply(PublicationSettlement settlement) {
				settlement.judged(List.of(verdict(VerdictKind.CONFLICT)));
			}
		},
		INVALID {
			@Override
			void apply(PublicationSettlement settlement) {
				settlement.judged(List.of(verdict(VerdictKind.INVALID)));
			}
		};

		abstract void apply(PublicationSettlement settlement);

	}

	enum Course {

		NEVER_TRIED(PublicationOutcome.NOT_PUBLISHED, List.of(), Step.APPEND),
		PLAIN(PublicationOutcome.ACCEPTED, List.of(Event.ANSWERED, Event.ACCEPTED), Step.APPEND, Step.READ,
				Step.FINISHED),
		REFUSED_BY_THE_LOG(PublicationOutcome.NOT_PUBLISHED, List.of(Event.REFUSED), Step.APPEND, Step.APPEND),
		ANSWER_LOST_AFTER_EFFECT(PublicationOutcome.ACCEPTED, List.of(Event.LOST, Event.ACCEPTED), Step.APPEND,
				Step.READ, Step.FINISHED),
		LOST_BEFORE_EFFECT(PublicationOutcome.ACCEPTED,
				List.of(Event.LOST, Event.NOT_FOUND, Event.ANSWERED, Event.ACCEPTED), Step.APPEND, Step.READ,
				Step.APPEND, Step.READ, Step.FINISHED),
		LOST_AND_NOTHING_READ(PublicationOutcome.UNKNOWN, List.of(Event.LOST), Step.APPEND, Step.READ),
		LOST_AND_NOT_FOUND(PublicationOutcome.UNKNOWN, List.of(Event.LOST, Event.NOT_FOUND), Step.APPEND, Step.READ,
				Step.APPEND),
		LOST_THEN_REFUSED(PublicationOutcome.UNKNOWN, List.of(Event.LOST, Event.NOT_FOUND, Event.REFUSED), Step.APPEND,
				Step.READ, Step.APPEND, Step.READ),
		ANSWERED_BUT_READS_LAG(PublicationOutcome.UNKNOWN, List.of(Event.ANSWERED, Event.NOT_FOUND), Step.APPEND,
				Step.READ, Step.READ),
		BOTH_COPIES_THERE(PublicationOutcome.ACCEPTED,
				List.of(Event.LOST, Event.NOT_FOUND, Event.ANSWERED, Event.ACCEPTED, Event.CONFLICT), Step.APPEND,
				Step.READ, Step.APPEND, Step.READ, Step.FINISHED, Step.FINISHED),
		OTHERS_WERE_FIRST(PublicationOutcome.CONFLICT, List.of(Event.ANSWERED, Event.CONFLICT), Step.APPEND, Step.READ,
				Step.FINISHED),
		INVALID_AND_NO_COPY_OUTSTANDING(PublicationOutcome.INVALID, List.of(Event.ANSWERED, Event.INVALID), Step.APPEND,
				Step.READ, Step.FINISHED),
		INVALID_WITH_A_COPY_OUTSTANDING(PublicationOutcome.UNKNOWN,
				List.of(Event.LOST, Event.NOT_FOUND, Event.ANSWERED, Event.INVALID), Step.APPEND, Step.READ,
				Step.APPEND, Step.READ, Step.FINISHED);

		private final PublicationOutcome outcome;

		private final List<Event> events;

		private final Step[] steps;

		Course(PublicationOutcome outcome, List<Event> events, Step... steps) {
			this.outcome = outcome;
			this.events = events;
			this.steps = steps;
		}

	}

}
