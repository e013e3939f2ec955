package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.exchange.RequestLifecycle;
import org.sardineport.core.exchange.RequestPhase;
import org.sardineport.core.exchange.RetryBudget;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.journal.StoredResponse;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;
import org.sardineport.daemon.engine.HttpModelEngine;
import org.sardineport.daemon.telemetry.Telemetry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Guards that a dispatched request ends once: with one final phase, one release of its
 * permit, one record and at most one refusal.
 */
class DispatchedRequestCompletionTests {

	private static final Instant NOW = Instant.parse("2026-12-03T08:00:00Z");

	private static final PoolName POOL = PoolName.of("model");

	private static final SchedulingRequest REQUEST = new SchedulingRequest(RequestId.of("r1"), POOL,
			OrganisationId.of("schools"), Tier.STANDARD, TokenEstimate.NONE, 0, Fingerprint.of(1, 2),
			RunningPolicy.CANCELLABLE, 0, NOW, NOW.plusSeconds(60));

	private static final BackendServer SERVER = new BackendServer(BackendServerId.of("s1"), BackendKind.MODEL_ENGINE,
			POOL, FailureDomain.of("bole"), NetworkAddress.of("127.0.0.1", 9), 1);

	private final Vertx vertx = Vertx.vertx();

	private final InstantSource clock = InstantSource.fixed(NOW);

	private final RecordingSink sink = new RecordingSink();

	private final FakeScheduler scheduler = new FakeScheduler(this.clock);

	private final RecordingRecorder recorder = new RecordingRecorder();

	private final RequestLifecycle life = RequestLifecycle.create();

	private final PermitHolder permit = new PermitHolder(this.scheduler, REQUEST);

	private final ResponseRelay relay = new ResponseRelay(REQUEST, this.sink, Telemetry.create(), 1024);

	private DispatchedRequestCompletion completion;

	private int ended;

	@BeforeEach
	void dispatch() {
		RunServices services = RunServices.create(this.scheduler, new FakeJournal(),
				HttpModelEngine.create(this.vertx, this.clock), this.clock, Telemetry.create(), RetryBudget.create(),
				1024);
		StreamMigration migration = new StreamMigration(services, "r1", new ManualExecutor());
		this.completion = new DispatchedRequestCompletion(this.life, this.permit, this.relay, migration, this.recorder,
				this.clock, () -> this.ended++);
		this.life.tryEnter(RequestPhase.ADMITTED);
		this.life.tryEnter(RequestPhase.WAITING);
		this.life.tryEnter(RequestPhase.DISPATCHED);
		this.permit.hold(new Permit(REQUEST.id(), SERVER, NOW.plusSeconds(5)));
		this.relay.startMeter(RunMeter.dispatched(NOW, REQUEST.estimate()));
	}

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private void assertEndedOnce(RequestPhase phase, RunEnd end, Outcome outcome) {
		assertThat(this.life.phase()).isEqualTo(phase);
		assertThat(this.scheduler.ends()).containsExactly(end);
		assertThat(this.recorder.outcomes).containsExactly(outcome);
		assertThat(this.ended).isOne();
	}

	@Test
	void recordsACompleteResponse() {
		this.relay.head(200, List.of());
		this.relay.chunk(ByteBuffer.wrap(new byte[] { 1, 2 }), NOW);
		this.completion.complete();
		assertEndedOnce(RequestPhase.COMPLETED, RunEnd.COMPLETED, Outcome.COMPLETED);
		assertThat(this.recorder.responses).singleElement()
			.satisfies((response) -> assertThat(response.body()).containsExactly(1, 2));
		assertThat(this.sink.refusals()).isEmpty();
	}

	@Test
	void completeServerErrorIsAFailureThatIsReportedOnce() {
		this.relay.head(503, List.of());
		this.completion.complete();
		assertEndedOnce(RequestPhase.FAILED, RunEnd.REJECTED, Outcome.UNKNOWN);
		assertThat(this.sink.refusals()).extracting(Refusal::reason).containsExactly(RefusalReason.BACKEND_FAILED);
	}

	@Test
	void serverErrorTakesPrecedenceOverALaterFailureOfTheExchange() {
		this.relay.head(503, List.of());
		this.completion.failExchange(BackendFailure.TRUNCATED, false);
		assertEndedOnce(RequestPhase.FAILED, RunEnd.REJECTED, Outcome.UNKNOWN);
		assertThat(this.sink.refusals()).hasSize(1);
	}

	@Test
	void brokenExchangeFailsTheRequest() {
		this.completion.failExchange(BackendFailure.BROKEN, false);
		assertEndedOnce(RequestPhase.FAILED, RunEnd.BROKEN, Outcome.UNKNOWN);
		assertThat(this.scheduler.crashes()).hasSize(1);
	}

	@Test
	void cancelledRequestEndsOnce() {
		this.completion.fail(BackendFailure.CANCELLED, true);
		this.completion.fail(BackendFailure.TIMED_OUT, false);
		assertEndedOnce(RequestPhase.CANCELLED, RunEnd.CANCELLED, Outcome.UNKNOWN);
		assertThat(this.sink.refusals()).extracting(Refusal::reason).containsExactly(RefusalReason.PREEMPTED);
	}

	@Test
	void endedRequestCannotBeCompleted() {
		this.completion.fail(BackendFailure.TIMED_OUT, false);
		assertThatIllegalStateException().isThrownBy(this.completion::complete)
			.withMessage("COMPLETED must not follow FAILED");
		assertEndedOnce(RequestPhase.FAILED, RunEnd.TIMED_OUT, Outcome.UNKNOWN);
	}

	/**
	 * Records the ends of dispatched requests.
	 */
	private static final class RecordingRecorder implements DispatchRecorder {

		private final List<Outcome> outcomes = new ArrayList<>();

		private final List<StoredResponse> responses = new ArrayList<>();

		@Override
		public CompletionStage<DispatchDecision> dispatch(BackendServerId backendServer, String streamId,
				Instant deadline) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletionStage<KeyState> release(Refusal refusal) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void finish(Outcome outcome, StoredResponse answer) {
			this.outcomes.add(outcome);
			if (answer != null) {
				this.responses.add(answer);
			}
		}

		@Override
		public int maxResponseBytes() {
			return 1024;
		}

		@Override
		public boolean continuesAfterDisconnect() {
			return true;
		}

	}

}
