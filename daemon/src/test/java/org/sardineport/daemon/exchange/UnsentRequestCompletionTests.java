package org.sardineport.daemon.exchange;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.exchange.RetryBudget;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.journal.IdempotencyKey;
import org.sardineport.core.journal.JournalClaim;
import org.sardineport.core.journal.KeyPhase;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.journal.KeyedRequest;
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

/**
 * Guards against reporting a durable request as not run before the journal has recorded
 * its release, while another daemon may still take it over and run it.
 */
class UnsentRequestCompletionTests {

	private static final Instant NOW = Instant.parse("2026-12-03T08:00:00Z");

	private static final Refusal OVERLOADED = Refusal.of(RefusalReason.OVERLOADED, "no room");

	private static final IdempotencyKey KEY = new IdempotencyKey(OrganisationId.of("schools"), "k1", NOW);

	private final Vertx vertx = Vertx.vertx();

	private final ManualExecutor executor = new ManualExecutor();

	private final RecordingSink sink = new RecordingSink();

	private final FakeJournal journal = new FakeJournal();

	private final CompletableFuture<KeyState> released = new CompletableFuture<>();

	private int ended;

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Test
	void nonDurableRequestIsRefusedImmediately() {
		complete(false);
		assertThat(this.sink.refusals()).containsExactly(OVERLOADED);
		assertThat(this.ended).isOne();
	}

	@Test
	void durableRequestIsRefusedOnlyAfterJournalRecordsRelease() {
		complete(true);
		assertThat(this.sink.refusals()).isEmpty();
		this.released.complete(new KeyState(KeyPhase.ABSENT, Outcome.NOT_RUN, null));
		this.executor.runScheduled();
		assertThat(this.sink.refusals()).containsExactly(OVERLOADED);
		assertThat(this.ended).isOne();
	}

	@Test
	void durableRequestEndsUnknownWhenJournalTimesOut() {
		complete(true);
		this.executor.runScheduled();
		this.released.complete(new KeyState(KeyPhase.ABSENT, Outcome.NOT_RUN, null));
		assertThat(this.sink.refusals()).extracting(Refusal::outcome).containsExactly(Outcome.UNKNOWN);
		assertThat(this.ended).isOne();
	}

	@Test
	void requestThatTheJournalRefusesToDispatchIsRefusedWithItsReason() {
		completion(request(false)).completeUndispatched(new DispatchDecision.Refused(OVERLOADED), null);
		assertThat(this.sink.refusals()).containsExactly(OVERLOADED);
		assertThat(this.ended).isOne();
	}

	@Test
	void requestEndsUnknownIfTheJournalFailsToDecide() {
		completion(request(false)).completeUndispatched(null, new IllegalStateException("gone"));
		assertThat(this.sink.refusals()).extracting(Refusal::reason).containsExactly(RefusalReason.JOURNAL_UNSETTLED);
		assertThat(this.ended).isOne();
	}

	@Test
	void requestThatAnotherRunHoldsWaitsForTheEndOfThatRun() {
		RunRequest request = request(true, KEY);
		this.journal.accept(new KeyedRequest(KEY, request.scheduling().fingerprint(), true, request.method(),
				request.pathAndQuery(), Map.of(), request.body(), request.scheduling(),
				request.scheduling().deadline()));
		completion(request).completeUndispatched(new DispatchDecision.Lost(), null);
		assertThat(this.ended).isZero();
		this.journal.finish(new JournalClaim(KEY, "other"), Outcome.COMPLETED, null);
		assertThat(this.sink.refusals()).extracting(Refusal::reason).containsExactly(RefusalReason.ANSWER_NOT_KEPT);
		assertThat(this.ended).isOne();
	}

	private void complete(boolean durable) {
		completion(request(durable)).complete(OVERLOADED, this.released);
	}

	private UnsentRequestCompletion completion(RunRequest request) {
		InstantSource clock = InstantSource.fixed(NOW);
		RunServices services = RunServices.create(new FakeScheduler(clock), this.journal,
				HttpModelEngine.create(this.vertx, clock), clock, Telemetry.create(), RetryBudget.create(), 1024);
		return new UnsentRequestCompletion(services, request, this.sink, this.executor, () -> this.ended++);
	}

	private static RunRequest request(boolean durable) {
		return request(durable, null);
	}

	private static RunRequest request(boolean durable, IdempotencyKey key) {
		SchedulingRequest scheduling = new SchedulingRequest(RequestId.of("r1"), PoolName.of("model"),
				OrganisationId.of("schools"), Tier.BATCH, TokenEstimate.NONE, 0, Fingerprint.of(1, 2),
				RunningPolicy.RESUMABLE_ONLY, 0, NOW, NOW.plusSeconds(60));
		return new RunRequest(scheduling, "POST", "/", List.of(), new byte[0], key, durable);
	}

}
