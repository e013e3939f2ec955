package org.sardineport.daemon.journal;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.journal.AcceptDecision;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.journal.DispatchedRun;
import org.sardineport.core.journal.DurableRunner;
import org.sardineport.core.journal.JournalClaim;
import org.sardineport.core.journal.KeyPhase;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.journal.KeyedRequest;
import org.sardineport.core.journal.StoredResponse;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.settings.JournalSettings;
import org.sardineport.standins.log.AppendFault;
import org.sardineport.standins.log.InMemoryLogService;
import org.sardineport.standins.log.LogFaults;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against keyed requests that run twice, lose their stored response or report a
 * wrong outcome when the log service fails or a daemon dies.
 */
class JournalServiceTests {

	private static final Duration MINUTE = Duration.ofMinutes(1);

	private static final Duration TAKEOVER_AFTER = Duration.ofMillis(100);

	private static final BackendServerId SERVER = BackendServerId.of("worker-1");

	private static final JournalSettings SETTINGS = new JournalSettings(2, Duration.ofHours(1), 1000,
			Duration.ofMillis(1), 1024 * 1024, TAKEOVER_AFTER);

	private final InMemoryLogService log = InMemoryLogService.create();

	private final FakeFleet fleet = new FakeFleet();

	private final List<JournalService> started = new ArrayList<>();

	@AfterEach
	void stop() {
		this.log.faults().outage(false);
		this.started.forEach((journal) -> get(journal.stop()));
	}

	private static <T> T get(CompletionStage<T> stage) {
		return stage.toCompletableFuture().join();
	}

	private JournalService start(String daemon) {
		this.fleet.set(DaemonId.of(daemon), MemberStatus.ALIVE);
		JournalService journal = JournalService.create("test", DaemonId.of(daemon), this.started.size() + 1, SETTINGS,
				this.log, this.fleet, InstantSource.system(), Telemetry.create());
		this.started.add(journal);
		journal.start();
		while (!journal.isReady()) {
			Thread.onSpinWait();
		}
		return journal;
	}

	private static KeyedRequest request(String key, boolean durable) {
		return KeyedRequests.request(key, durable, Instant.now(), MINUTE);
	}

	private static Instant deadline() {
		return Instant.now().plus(MINUTE);
	}

	private static JournalClaim accepted(AcceptDecision decision) {
		assertThat(decision).isInstanceOf(AcceptDecision.Accepted.class);
		return ((AcceptDecision.Accepted) decision).claim();
	}

	private static StoredResponse response(int length) {
		byte[] body = new byte[length];
		for (int i = 0; i < length; i++) {
			body[i] = (byte) (i * 31);
		}
		return new StoredResponse(200, Map.of("content-type", "text/plain"), body);
	}

	private static void run(JournalService journal, KeyedRequest request, StoredResponse response) {
		JournalClaim claim = accepted(get(journal.accept(request)));
		assertThat(get(journal.dispatch(claim, SERVER, "stream", deadline()))).isInstanceOf(DispatchDecision.Won.class);
		get(journal.finish(claim, Outcome.COMPLETED, response));
	}

	@Test
	void runsARequestOnceAndServesItsResponseFromEveryDaemon() {
		JournalService first = start("first");
		JournalService second = start("second");
		KeyedRequest request = request("key", false);
		run(first, request, response(100));
		KeyState state = get(second.await(request.key(), deadline()));
		assertThat(get(second.accept(request))).isInstanceOf(AcceptDecision.Finished.class);
		assertThat(state.outcome()).isEqualTo(Outcome.COMPLETED);
		assertThat(state.response()).isNotNull();
		assertThat(state.response().body()).isEqualTo(response(100).body());
	}

	@Test
	void servesALongResponseCompletelyFromAnotherDaemon() {
		JournalService first = start("first");
		KeyedRequest request = request("long", true);
		run(first, request, response(900_001));
		JournalService second = start("second");
		KeyState state = get(second.lookup(KeyedRequests.ORGANISATION, "long"));
		assertThat(state.phase()).isEqualTo(KeyPhase.FINISHED);
		assertThat(state.response()).isNotNull();
		assertThat(state.response().body()).isEqualTo(response(900_001).body());
		assertThat(state.response().status()).isEqualTo(200);
	}

	@Test
	void joinsARepeatedRequestToTheRunOfAnotherDaemon() {
		JournalService first = start("first");
		JournalService second = start("second");
		KeyedRequest request = request("joined", false);
		JournalClaim claim = accepted(get(first.accept(request)));
		assertThat(get(second.accept(request))).isInstanceOf(AcceptDecision.Joined.class);
		CompletionStage<KeyState> waiting = second.await(request.key(), deadline());
		get(first.dispatch(claim, SERVER, "stream", deadline()));
		get(first.finish(claim, Outcome.COMPLETED, response(10)));
		assertThat(get(waiting).response()).isNotNull();
	}

	@Test
	void refusesAKeyReusedWithAnotherBody() {
		JournalService journal = start("first");
		run(journal, request("reused", false), response(1));
		AcceptDecision decision = get(
				journal.accept(KeyedRequests.request("reused", false, Instant.now(), MINUTE, "other")));
		assertThat(decision).isInstanceOfSatisfying(AcceptDecision.Refused.class,
				(refused) -> assertThat(refused.refusal().reason()).isEqualTo(RefusalReason.KEY_REUSED));
	}

	@Test
	void reportsNotRunAfterARelease() {
		JournalService journal = start("first");
		JournalClaim claim = accepted(get(journal.accept(request("released", false))));
		KeyState state = get(journal.release(claim, Refusal.of(RefusalReason.OVERLOADED, "full")));
		assertThat(state.outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(accepted(get(journal.accept(request("released", false))))).isNotEqualTo(claim);
	}

	@Test
	void completesARequestDespiteAppendsWithUnknownResult() {
		JournalService journal = start("first");
		this.log.faults()
			.failNextAppends(AppendFault.RESPONSE_LOST_AFTER_EFFECT, AppendFault.LOST_BEFORE_EFFECT,
					AppendFault.LATE_EFFECT);
		run(journal, request("lost", false), response(10));
		this.log.releaseLateAppends();
		assertThat(get(journal.lookup(KeyedRequests.ORGANISATION, "lost")).outcome()).isEqualTo(Outcome.COMPLETED);
	}

	/**
	 * Permanent condition of the log service under which the journal must work.
	 */
	enum LogCondition {

		GAPS_BETWEEN_OFFSETS((faults) -> faults.offsetStep(7)), DUPLICATE_DELIVERY((faults) -> faults.duplicates(true)),
		READ_LAG((faults) -> faults.readLag(Duration.ofMillis(20))),
		SLOW((faults) -> faults.roundTrip(Duration.ofMillis(20))),
		FEW_APPENDS_A_SECOND((faults) -> faults.appendsPerSecond(5));

		private final Consumer<LogFaults> setting;

		LogCondition(Consumer<LogFaults> setting) {
			this.setting = setting;
		}

	}

	@ParameterizedTest
	@EnumSource
	void runsEachRequestOnceUnder(LogCondition condition) {
		JournalService first = start("first");
		JournalService second = start("second");
		condition.setting.accept(this.log.faults());
		for (int number = 0; number < 3; number++) {
			KeyedRequest request = request("key" + number, false);
			CompletionStage<AcceptDecision> one = first.accept(request);
			CompletionStage<AcceptDecision> two = second.accept(request);
			boolean firstHolds = get(one) instanceof AcceptDecision.Accepted;
			assertThat(get(two) instanceof AcceptDecision.Accepted).isNotEqualTo(firstHolds);
			JournalService holder = (firstHolds) ? first : second;
			JournalService joined = (firstHolds) ? second : first;
			JournalClaim claim = accepted(get((firstHolds) ? one : two));
			assertThat(get(holder.dispatch(claim, SERVER, "stream", deadline())))
				.isInstanceOf(DispatchDecision.Won.class);
			get(holder.finish(claim, Outcome.COMPLETED, response(number)));
			KeyState state = get(joined.await(request.key(), deadline()));
			assertThat(state.response()).isNotNull();
			assertThat(state.response().body()).hasSize(number);
		}
	}

	@Test
	void refusesWithUnknownOutcomeWhileTheLogIsDown() {
		JournalService journal = start("first");
		this.log.faults().outage(true);
		AcceptDecision decision = get(
				journal.accept(KeyedRequests.request("outage", false, Instant.now(), Duration.ofMillis(200))));
		assertThat(decision).isInstanceOfSatisfying(AcceptDecision.Refused.class,
				(refused) -> assertThat(refused.refusal().outcome()).isEqualTo(Outcome.UNKNOWN));
	}

	@Test
	void reportsNoOutcomeWhileTheResponseIsUnreadable() {
		JournalService journal = start("first");
		run(journal, request("kept", false), response(10));
		this.log.faults().outage(true);
		assertThat(get(journal.lookup(KeyedRequests.ORGANISATION, "kept")).outcome()).isNull();
		this.log.faults().outage(false);
		assertThat(get(journal.lookup(KeyedRequests.ORGANISATION, "kept")).response()).isNotNull();
	}

	@Test
	void stopsWhenNeverStarted() {
		JournalService journal = JournalService.create("test", DaemonId.of("idle"), 1, SETTINGS, this.log, this.fleet,
				InstantSource.system(), Telemetry.create());
		get(journal.stop());
	}

	@Test
	void acceptsAPendingRequestAfterAnOutage() {
		JournalService journal = start("first");
		this.log.faults().outage(true);
		CompletionStage<AcceptDecision> waiting = journal.accept(request("outage", false));
		this.log.faults().outage(false);
		accepted(get(waiting));
	}

	@Test
	void runsAnUndispatchedDurableRequestOfADeadDaemon() {
		JournalService dying = start("dying");
		JournalService other = start("other");
		CompletableFuture<KeyedRequest> taken = new CompletableFuture<>();
		other.runner(new RecordingRunner(taken, new CompletableFuture<>()));
		KeyedRequest request = request("durable", true);
		JournalClaim old = accepted(get(dying.accept(request)));
		this.fleet.set(DaemonId.of("dying"), MemberStatus.DEAD);
		assertThat(get(taken)).usingRecursiveComparison().isEqualTo(request);
		assertThat(get(dying.dispatch(old, SERVER, "stream", deadline()))).isInstanceOf(DispatchDecision.Lost.class);
	}

	@Test
	void resumesADispatchedDurableRequestOfADeadDaemon() {
		JournalService dying = start("dying");
		JournalService other = start("other");
		CompletableFuture<DispatchedRun> run = new CompletableFuture<>();
		other.runner(new RecordingRunner(new CompletableFuture<>(), run));
		KeyedRequest request = request("durable", true);
		JournalClaim claim = accepted(get(dying.accept(request)));
		get(dying.dispatch(claim, SERVER, "stream-7", deadline()));
		this.fleet.set(DaemonId.of("dying"), MemberStatus.DEAD);
		assertThat(get(run).streamId()).isEqualTo("stream-7");
		get(other.finish(get(run).claim(), Outcome.COMPLETED, response(5)));
		assertThat(get(other.lookup(KeyedRequests.ORGANISATION, "durable")).response()).isNotNull();
	}

	@Test
	void reportsUnknownForADispatchedNonDurableRequestOfADeadDaemon() {
		JournalService dying = start("dying");
		JournalService other = start("other");
		KeyedRequest request = request("plain", false);
		JournalClaim claim = accepted(get(dying.accept(request)));
		get(dying.dispatch(claim, SERVER, "stream", deadline()));
		get(other.accept(request));
		CompletionStage<KeyState> waiting = other.await(request.key(), deadline());
		this.fleet.set(DaemonId.of("dying"), MemberStatus.DEAD);
		assertThat(get(waiting).outcome()).isEqualTo(Outcome.UNKNOWN);
	}

	/**
	 * Records what it is given to run or resume.
	 *
	 * @param runRequest completes with the request to run
	 * @param resumedRun completes with the run to resume
	 */
	private record RecordingRunner(CompletableFuture<KeyedRequest> runRequest,
			CompletableFuture<DispatchedRun> resumedRun) implements DurableRunner {

		@Override
		public void run(KeyedRequest request, JournalClaim claim) {
			this.runRequest.complete(request);
		}

		@Override
		public void resume(DispatchedRun run) {
			this.resumedRun.complete(run);
		}

	}

}
