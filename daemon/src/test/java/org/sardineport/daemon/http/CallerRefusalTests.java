package org.sardineport.daemon.http;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;
import org.sardineport.standins.engine.EngineOptions;
import org.sardineport.standins.http.FreeAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the problem documents of refused requests: reason, outcome, remedy and counter.
 * A refusal with outcome {@code not-run} must not have dispatched the request.
 */
class CallerRefusalTests {

	private static final String CHAT = "/v1/chat/completions";

	private static final String OLD_KEY = "01890a5d-ac96-774b-bcce-b302099a8057";

	private static final String KEY = TestKeys.create(InstantSource.system());

	private CallerFixture fixture;

	@BeforeEach
	void start() {
		this.fixture = new CallerFixture(EngineOptions.fast());
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	/**
	 * Requests that are refused because of their head or body, before scheduling.
	 */
	enum InvalidRequest {

		PROFILE_MISSING("POST", CHAT, RefusalReason.MISSING_HEADER, CallerFixture.without("Sardineport-Profile")),
		ORGANISATION_MISSING("POST", CHAT, RefusalReason.MISSING_HEADER,
				CallerFixture.without("Sardineport-Organisation")),
		PROFILE_TWICE("POST", CHAT, RefusalReason.INVALID_HEADER,
				(request) -> request.header("Sardineport-Profile", "dictionary")),
		PROFILE_WITH_INVALID_CHARACTERS("POST", CHAT, RefusalReason.INVALID_HEADER,
				(request) -> request.setHeader("Sardineport-Profile", "a b/c")),
		PROFILE_UNKNOWN("POST", CHAT, RefusalReason.UNKNOWN_PROFILE,
				(request) -> request.setHeader("Sardineport-Profile", "absent")),
		ORGANISATION_UNKNOWN("POST", CHAT, RefusalReason.UNKNOWN_ORGANISATION,
				(request) -> request.setHeader("Sardineport-Organisation", "absent")),
		TOKEN_MISSING("POST", CHAT, RefusalReason.UNAUTHORIZED,
				(request) -> request.setHeader("Sardineport-Organisation", "guthi")),
		TOKEN_OF_AN_ORGANISATION_WITHOUT_ANY("POST", CHAT, RefusalReason.UNAUTHORIZED,
				(request) -> request.setHeader("Sardineport-Organisation", "locked")
					.setHeader("Authorization", "Bearer anything")),
		TOKEN_WRONG("POST", CHAT, RefusalReason.UNAUTHORIZED,
				(request) -> request.setHeader("Sardineport-Organisation", "guthi")
					.setHeader("Authorization", "Bearer wrong")),
		TOKEN_OF_OTHER_SCHEME("POST", CHAT, RefusalReason.UNAUTHORIZED,
				(request) -> request.setHeader("Sardineport-Organisation", "guthi")
					.setHeader("Authorization", "Basic " + CallerFixture.TOKEN)),
		PATH_UNKNOWN("POST", "/v2/other", RefusalReason.NO_ROUTE, (request) -> {
		}), METHOD_UNKNOWN("DELETE", CHAT, RefusalReason.NO_ROUTE, (request) -> {
		}), PATH_WITH_ENCODED_DOTS("GET", "/accounts/%2e%2e/postings", RefusalReason.NO_ROUTE, (request) -> {
		}), PATH_WITH_ENCODED_SLASH("GET", "/accounts/x%2Fy", RefusalReason.NO_ROUTE, (request) -> {
		}), PATH_WITH_EMPTY_SEGMENT("GET", "/accounts//7", RefusalReason.NO_ROUTE, (request) -> {
		}), KEY_MISSING("POST", "/postings", RefusalReason.KEY_REQUIRED, (request) -> {
		}),
		KEY_WITHOUT_TIME("POST", "/postings", RefusalReason.KEY_INVALID,
				(request) -> request.header("Idempotency-Key", "posting-7")),
		KEY_WITH_INVALID_TIME("POST", "/postings", RefusalReason.KEY_INVALID,
				(request) -> request.header("Idempotency-Key", "posting-7")
					.header("Sardineport-Issued-At", "yesterday")),
		KEY_FROM_THE_FUTURE("POST", "/postings", RefusalReason.KEY_OUT_OF_WINDOW,
				(request) -> request.header("Idempotency-Key", "posting-7")
					.header("Sardineport-Issued-At", "2999-01-01T00:00:00Z")),
		BODY_OVER_THE_LIMIT("POST", "/postings", RefusalReason.BODY_TOO_LARGE,
				(request) -> request.header("Idempotency-Key", KEY)
					.POST(HttpRequest.BodyPublishers.ofString("x".repeat(1001))));

		private final String method;

		private final String path;

		private final RefusalReason reason;

		private final Consumer<HttpRequest.Builder> customizer;

		InvalidRequest(String method, String path, RefusalReason reason, Consumer<HttpRequest.Builder> customizer) {
			this.method = method;
			this.path = path;
			this.reason = reason;
			this.customizer = customizer;
		}

	}

	@ParameterizedTest
	@EnumSource
	void refusesInvalidRequestsWithoutDispatching(InvalidRequest invalid) throws Exception {
		HttpResponse<String> response = this.fixture.send(invalid.method, invalid.path,
				(invalid.method.equals("GET")) ? "" : "{}", invalid.customizer);
		assertProblem(response, invalid.reason, "not-run");
		assertThat(this.fixture.scheduler.submitted()).isEmpty();
		assertThat(this.fixture.refusalCount(invalid.reason)).isOne();
	}

	@Test
	void reportsUnknownOutcomeForAKeyOlderThanTheJournal() throws Exception {
		HttpResponse<String> response = this.fixture.send("POST", "/postings", "{}",
				(request) -> request.header("Idempotency-Key", OLD_KEY));
		assertProblem(response, RefusalReason.KEY_OUT_OF_WINDOW, "unknown");
		assertThat(this.fixture.scheduler.submitted()).isEmpty();
	}

	@Test
	void acceptsTheOrganisationsToken() throws Exception {
		HttpResponse<String> response = this.fixture.send("POST", CHAT, CallerFixture.chat("g", 1),
				(request) -> request.setHeader("Sardineport-Organisation", "guthi")
					.setHeader("Authorization", "Bearer " + CallerFixture.TOKEN));
		assertThat(response.statusCode()).isEqualTo(200);
	}

	@Test
	void sendsRetryAfterWhenTheSchedulerRefuses() throws Exception {
		this.fixture.scheduler.refuse(Refusal.retryAfter(RefusalReason.OVERLOADED, "busy", Duration.ofMillis(2500)));
		HttpResponse<String> response = chat("busy");
		assertProblem(response, RefusalReason.OVERLOADED, "not-run");
		assertThat(response.headers().firstValue("Retry-After")).hasValue("3");
	}

	@Test
	void refusesAWaitingRequestAtItsDeadline() throws Exception {
		this.fixture.scheduler.hold();
		HttpResponse<String> response = this.fixture.send("POST", "/v1/quick", "{}", (request) -> {
		});
		assertProblem(response, RefusalReason.DEADLINE_PASSED, "not-run");
		assertThat(this.fixture.scheduler.abandoned()).hasSize(1);
		this.fixture.scheduler.grantAbandoned();
		CallerStreamTests.waitUntil(() -> this.fixture.scheduler.ends().contains(RunEnd.UNUSED));
		assertThat(this.fixture.engine.counters().dispatches()).isEmpty();
	}

	@Test
	void releasesALapsedPermitAndRequestsAnother() throws Exception {
		this.fixture.scheduler.nextLifetime(Duration.ofMillis(-1));
		assertThat(chat("again").body()).endsWith("data: [DONE]\n\n");
		this.fixture.assertEnds(RunEnd.UNUSED, RunEnd.COMPLETED);
		assertThat(this.fixture.telemetry.retried(RetryReason.PERMIT_LAPSED).getCount()).isOne();
		assertThat(this.fixture.engine.counters().dispatches()).containsEntry("again", 1);
	}

	@Test
	void refusesWhileNotReady() throws Exception {
		this.fixture.ready = false;
		assertProblem(chat("early"), RefusalReason.NOT_READY, "not-run");
	}

	@Test
	void refusesWhileStopping() throws Exception {
		this.fixture.server.refuseNewRequests();
		assertProblem(chat("late"), RefusalReason.STOPPING, "not-run");
	}

	@Test
	void reportsNotRunIfNoBackendServerIsReachable() throws Exception {
		this.fixture.scheduler.serve(CallerFixture.server("gone", BackendKind.MODEL_ENGINE, FreeAddress.find()),
				CallerFixture.server("gone2", BackendKind.MODEL_ENGINE, FreeAddress.find()));
		assertProblem(chat("nowhere"), RefusalReason.BACKEND_UNREACHABLE, "not-run");
		assertThat(this.fixture.scheduler.ends()).containsOnly(RunEnd.NOT_CONNECTED).hasSize(4);
	}

	@Test
	void triesAnotherBackendServerIfTheConnectionFails() throws Exception {
		this.fixture.scheduler.serve(CallerFixture.server("gone", BackendKind.MODEL_ENGINE, FreeAddress.find()),
				this.fixture.engineServer());
		assertThat(chat("second").body()).endsWith("data: [DONE]\n\n");
		assertThat(this.fixture.engine.counters().dispatches()).containsEntry("second", 1);
	}

	@Test
	void runsAPostingOnceOnAnotherServerIfTheConnectionFails() throws Exception {
		this.fixture.scheduler.serve(CallerFixture.server("gone", BackendKind.PLAIN_SERVICE, FreeAddress.find()),
				this.fixture.ledgerServer());
		String key = TestKeys.create(this.fixture.clock);
		HttpResponse<String> response = this.fixture.send("POST", "/postings", "{}",
				(request) -> request.header("Idempotency-Key", key));
		assertThat(response.statusCode()).isLessThan(300);
		assertThat(this.fixture.ledger.executions()).containsOnly(Map.entry(key, 1));
		this.fixture.assertEnds(RunEnd.NOT_CONNECTED, RunEnd.COMPLETED);
	}

	@Test
	void refusesAfterRepeatedPermitLapses() throws Exception {
		for (int i = 0; i < 10; i++) {
			this.fixture.scheduler.nextLifetime(Duration.ZERO);
		}
		assertProblem(chat("lapsed"), RefusalReason.OVERLOADED, "not-run");
		assertThat(this.fixture.scheduler.submitted()).hasSize(4);
		assertThat(this.fixture.engine.counters().dispatches()).isEmpty();
	}

	@Test
	void reportsUnknownOutcomeAfterACrashWithoutRetrying() throws Exception {
		this.fixture.engine.faults().crashOn("poison");
		assertProblem(chat("poison"), RefusalReason.BACKEND_FAILED, "unknown");
		assertThat(this.fixture.engine.counters().dispatches()).containsEntry("poison", 1);
		assertThat(this.fixture.scheduler.ends()).containsExactly(RunEnd.BROKEN);
		assertThat(this.fixture.scheduler.crashes()).hasSize(1);
	}

	@Test
	void reportsUnknownOutcomeWhenTheBackendServerRejects() throws Exception {
		this.fixture.engine.faults().refuse(true);
		assertProblem(chat("refused"), RefusalReason.BACKEND_FAILED, "unknown");
		assertThat(this.fixture.scheduler.submitted()).hasSize(1);
		assertThat(this.fixture.scheduler.ends()).containsExactly(RunEnd.REJECTED);
	}

	@Test
	void reportsUnknownOutcomeAtTheDeadlineAfterDispatch() throws Exception {
		this.fixture.engine.faults().slowDown(10_000);
		HttpResponse<String> late = this.fixture.send("POST", "/v1/quick", "{}", (request) -> {
		});
		assertProblem(late, RefusalReason.BACKEND_TIMEOUT, "unknown");
		assertThat(this.fixture.scheduler.ends()).endsWith(RunEnd.TIMED_OUT);
	}

	@Test
	void admitsUrgentRequestsWhileBatchRequestsFillTheirShare() throws Exception {
		try (CallerFixture small = new CallerFixture(EngineOptions.fast(), 1)) {
			small.scheduler.hold();
			HttpResponse<String> draft = small.send("POST", "/v1/completions", "{}",
					(request) -> request.header("Idempotency-Key", KEY).header("Prefer", "respond-async"));
			HttpResponse<String> second = small.send("POST", "/v1/completions", "{}",
					(request) -> request.header("Idempotency-Key", KEY + "2")
						.header("Sardineport-Issued-At", small.clock.instant().toString()));
			small.scheduler.grantHeld();
			HttpResponse<String> lookup = small.send("POST", CHAT, CallerFixture.chat("l", 1), (request) -> {
			});
			assertThat(draft.statusCode()).isEqualTo(202);
			assertThat(second.body()).contains("ring-full");
			assertThat(lookup.statusCode()).isEqualTo(200);
		}
	}

	@Test
	void refusesRequestsOverTheInFlightLimit() throws Exception {
		try (CallerFixture small = new CallerFixture(EngineOptions.fast(), 0)) {
			HttpResponse<String> response = small.send("POST", CHAT, "{}", (request) -> {
			});
			assertThat(response.statusCode()).isEqualTo(503);
			assertThat(response.body()).contains("ring-full");
		}
	}

	private HttpResponse<String> chat(String user) throws Exception {
		return this.fixture.send("POST", CHAT, CallerFixture.chat(user, 3), (request) -> {
		});
	}

	private static void assertProblem(HttpResponse<String> response, RefusalReason reason, String outcome)
			throws Exception {
		assertThat(response.headers().firstValue("Content-Type")).as(response.body())
			.hasValue("application/problem+json");
		JsonNode problem = new ObjectMapper().readTree(response.body());
		assertThat(problem.path("kind").asText()).isEqualTo(reason.label());
		assertThat(problem.path("outcome").asText()).isEqualTo(outcome);
		assertThat(problem.path("remedy").asText()).isEqualTo(reason.remedy());
		assertThat(problem.path("status").asInt()).isEqualTo(reason.status()).isEqualTo(response.statusCode());
		assertThat(problem.path("requestId").asText()).isNotEmpty();
		assertThat(response.headers().firstValue("Sardineport-Outcome")).hasValue(outcome);
	}

}
