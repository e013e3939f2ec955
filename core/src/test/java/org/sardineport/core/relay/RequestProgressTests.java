package org.sardineport.core.relay;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.identity.BackendServerId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks every sequence of up to five attempt results: a request that must run at most
 * once does so, attempts stay within the limit, and an idempotent request never runs
 * again after its response started.
 */
class RequestProgressTests {

	private static final int MAX_ATTEMPTS = 3;

	private static final int MAX_STEPS = 5;

	private static List<List<Step>> sequences(int length) {
		List<List<Step>> sequences = new ArrayList<>(List.of(List.of()));
		for (int i = 0; i < length; i++) {
			List<List<Step>> longer = new ArrayList<>();
			for (List<Step> sequence : sequences) {
				for (AttemptEnd end : AttemptEnd.values()) {
					for (boolean responseStarts : new boolean[] { false, true }) {
						List<Step> next = new ArrayList<>(sequence);
						next.add(new Step(end, responseStarts));
						longer.add(next);
					}
				}
			}
			sequences = longer;
		}
		return sequences;
	}

	@ParameterizedTest
	@EnumSource(RerunPolicy.class)
	void rerunsOnlyWherePolicyAllows(RerunPolicy repetition) {
		for (List<Step> sequence : sequences(MAX_STEPS)) {
			check(repetition, sequence);
		}
	}

	// A silent server runs the request, so it must not get it again nor count as not run.
	@ParameterizedTest
	@EnumSource(RerunPolicy.class)
	void silentServerMayHaveRunTheRequestAndGetsNoOtherAttempt(RerunPolicy repetition) {
		RequestProgress progress = RequestProgress.of(RelayFixture.route("/a/", repetition, 2));
		BackendServerId server = BackendServerId.of("server");
		progress.sent();
		assertThat(progress.mayReplaceAttempt()).isEqualTo(repetition != RerunPolicy.NEVER);
		progress.silent(server);
		assertThat(progress.mayHaveRun()).isTrue();
		assertThat(progress.failedOn()).containsExactly(server);
		assertThat(progress.mayRetry()).isEqualTo(repetition != RerunPolicy.NEVER);
		progress.sent();
		assertThat(progress.mayReplaceAttempt()).isFalse();
	}

	// A server that was never connected has not run the request, though it seemed silent.
	@Test
	void silentServerThatWasNeverConnectedHasNotRunTheRequest() {
		RequestProgress progress = RequestProgress.of(RelayFixture.route("/a/", RerunPolicy.UNTIL_RESPONSE, 2));
		BackendServerId server = BackendServerId.of("server");
		progress.sent();
		progress.silent(server);
		progress.ended(server, AttemptEnd.NOT_CONNECTED);
		assertThat(progress.mayHaveRun()).isFalse();
	}

	private static void check(RerunPolicy repetition, List<Step> sequence) {
		RequestProgress progress = RequestProgress.of(RelayFixture.route("/a/", repetition, MAX_ATTEMPTS));
		int sent = 0;
		int runs = 0;
		boolean responseStarted = false;
		for (int i = 0; i < sequence.size() && (i == 0 || progress.mayRetry()); i++) {
			Step step = sequence.get(i);
			progress.sent();
			boolean startsResponse = step.startsResponse && step.end.mayHaveRun();
			if (startsResponse) {
				progress.responseStarted();
			}
			assertThat(responseStarted && runs > 0 && repetition == RerunPolicy.UNTIL_RESPONSE).as("%s", sequence)
				.isFalse();
			responseStarted |= startsResponse;
			progress.ended(BackendServerId.of("server-" + i), step.end);
			sent += (step.end == AttemptEnd.NOT_CONNECTED) ? 0 : 1;
			runs += step.end.mayHaveRun() ? 1 : 0;
		}
		assertThat(sent).isLessThanOrEqualTo(MAX_ATTEMPTS);
		assertThat(progress.mayHaveRun()).isEqualTo(runs > 0);
		if (repetition == RerunPolicy.NEVER) {
			assertThat(runs).as("%s", sequence).isLessThanOrEqualTo(1);
		}
	}

	/**
	 * One attempt of a sequence.
	 *
	 * @param end how the attempt ends
	 * @param startsResponse whether the caller received part of the response before the
	 * end
	 */
	private record Step(AttemptEnd end, boolean startsResponse) {

	}

}
