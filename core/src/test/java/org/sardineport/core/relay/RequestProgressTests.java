package org.sardineport.core.relay;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.identity.BackendServerId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Goes through every course of up to four attempts.
 */
class RequestProgressTests {

	private static final int MOST_ATTEMPTS = 3;

	private static final int LONGEST_COURSE = 5;

	private static List<List<Step>> courses(int length) {
		List<List<Step>> courses = new ArrayList<>(List.of(List.of()));
		for (int i = 0; i < length; i++) {
			List<List<Step>> longer = new ArrayList<>();
			for (List<Step> course : courses) {
				for (AttemptEnd end : AttemptEnd.values()) {
					for (boolean begun : new boolean[] { false, true }) {
						List<Step> next = new ArrayList<>(course);
						next.add(new Step(end, begun));
						longer.add(next);
					}
				}
			}
			courses = longer;
		}
		return courses;
	}

	@ParameterizedTest
	@EnumSource(Repetition.class)
	void runsAgainOnlyWhereNoPromiseIsBroken(Repetition repetition) {
		for (List<Step> course : courses(LONGEST_COURSE)) {
			check(repetition, course);
		}
	}

	private static void check(Repetition repetition, List<Step> course) {
		RequestProgress progress = RequestProgress.of(RelayFixture.route("/a/", repetition, MOST_ATTEMPTS));
		int sent = 0;
		int runs = 0;
		boolean begun = false;
		for (int i = 0; i < course.size() && (i == 0 || progress.mayTryAgain()); i++) {
			Step step = course.get(i);
			progress.sent();
			boolean begins = step.begins && step.end.mayHaveRun();
			if (begins) {
				progress.answerBegun();
			}
			assertThat(begun && runs > 0 && repetition == Repetition.FREELY).as("%s", course).isFalse();
			begun |= begins;
			progress.ended(BackendServerId.of("server-" + i), step.end);
			sent += (step.end == AttemptEnd.NOT_CONNECTED) ? 0 : 1;
			runs += step.end.mayHaveRun() ? 1 : 0;
		}
		assertThat(sent).isLessThanOrEqualTo(MOST_ATTEMPTS);
		assertThat(progress.mayHaveRun()).isEqualTo(runs > 0);
		if (repetition == Repetition.NEVER) {
			assertThat(runs).as("%s", course).isLessThanOrEqualTo(1);
		}
	}

	/**
	 * One attempt of a course.
	 *
	 * @param end how it ends
	 * @param begins whether the caller received a part of the answer before
	 */
	private record Step(AttemptEnd end, boolean begins) {

	}

}
