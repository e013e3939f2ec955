package org.sardineport.daemon.journal;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.journal.AcceptDecision;
import org.sardineport.core.journal.AppendBudget;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.journal.DurableRunner;
import org.sardineport.core.journal.IdempotencyKey;
import org.sardineport.core.journal.JournalClaim;
import org.sardineport.core.journal.JournalLimits;
import org.sardineport.core.journal.JournalPartition;
import org.sardineport.core.journal.JournalWriter;
import org.sardineport.core.journal.KeyHash;
import org.sardineport.core.journal.KeyPhase;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.journal.KeyedRequest;
import org.sardineport.core.journal.RequestJournal;
import org.sardineport.core.journal.ResponseLocation;
import org.sardineport.core.journal.StoredResponse;
import org.sardineport.core.journal.TakeoverPlan;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.log.LogService;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.settings.JournalSettings;

/**
 * Request journal of one daemon, which runs on its own thread. It spreads the keys over
 * the partitions, each of which is a stream of the log service, and limits the rate of
 * appends. Safe for use by any thread.
 */
public final class JournalService implements RequestJournal, Service {

	private static final Duration TAKEOVER_CHECK_INTERVAL = Duration.ofMillis(250);

	private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(20);

	/** Longest time that the end of a request is held back to share an append. */
	private static final Duration MAX_DEFERRABLE_DELAY = Duration.ofMillis(100);

	/** State reported for a stored response while the log cannot be read. */
	private static final KeyState RESPONSE_UNREADABLE = new KeyState(KeyPhase.DISPATCHED, null, null);

	private static final EventLog LOG = EventLog.of(JournalService.class);

	private final JournalSettings settings;

	private final InstantSource clock;

	private final Telemetry telemetry;

	private final JournalThread thread = JournalThread.create(this::tick);

	private final List<PartitionIo> partitions = new ArrayList<>();

	private final AppendBudget budget;

	private final AnswerReader responseReader;

	private final Takeovers takeovers;

	private final CompletableFuture<Void> flushed = new CompletableFuture<>();

	private Instant nextTakeoverCheck = Instant.MIN;

	private Instant nextExpiry = Instant.MIN;

	private volatile boolean ready;

	private volatile boolean started;

	private volatile boolean stopping;

	private JournalService(String fleetName, DaemonId daemon, long boot, JournalSettings settings, LogService log,
			FleetView fleet, InstantSource clock, Telemetry telemetry) {
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.telemetry = Objects.requireNonNull(telemetry, "telemetry must not be null");
		this.budget = AppendBudget.create(settings.appendsPerSecond(), clock.instant());
		this.responseReader = AnswerReader.create(log);
		JournalWriter writer = JournalWriter.create(daemon, boot);
		TakeoverPlan plan = TakeoverPlan.create(writer, settings.takeoverAfter());
		this.takeovers = Takeovers.create(plan, fleet, this.responseReader, this.thread, clock, telemetry);
		JournalLimits limits = JournalLimits.of(settings.replayWindow());
		SplittableRandom random = new SplittableRandom(boot);
		for (int number = 0; number < settings.partitions(); number++) {
			this.partitions.add(PartitionIo.create(JournalPartition.create(limits, writer, plan),
					"%s.journal.%d".formatted(fleetName, number), log, this.thread, clock, telemetry, random));
		}
	}

	/**
	 * Creates a journal that has not been started yet.
	 * @param fleetName name of the fleet, used as prefix of the stream names
	 * @param daemon name of this daemon
	 * @param boot number that differs for each process of this daemon
	 * @param settings settings of the journal
	 * @param log log service that holds the streams
	 * @param fleet membership, which shows the daemons whose requests to take over
	 * @param clock clock for deadlines and intervals
	 * @param telemetry registry of the journal's metrics
	 * @return journal to start
	 */
	public static JournalService create(String fleetName, DaemonId daemon, long boot, JournalSettings settings,
			LogService log, FleetView fleet, InstantSource clock, Telemetry telemetry) {
		return new JournalService(fleetName, daemon, boot, settings, log, fleet, clock, telemetry);
	}

	/**
	 * Sets the runner of requests taken over from dead daemons. Without a runner, durable
	 * requests that were not dispatched are released without being run, and the outcome
	 * of dispatched ones is unknown.
	 * @param runner runner of durable requests
	 */
	public void runner(DurableRunner runner) {
		Objects.requireNonNull(runner, "runner must not be null");
		this.thread.run(() -> this.takeovers.runner(runner));
	}

	@Override
	public CompletionStage<Void> start() {
		this.started = true;
		return this.thread.start();
	}

	/**
	 * Stops the journal once all its entries are confirmed in the log. While the log is
	 * unavailable, appends are retried without limit and the stage stays incomplete.
	 */
	@Override
	public CompletionStage<Void> stop() {
		this.stopping = true;
		if (!this.started) {
			this.flushed.complete(null);
		}
		return this.flushed.thenCompose((nothing) -> this.thread.stop());
	}

	@Override
	public CompletionStage<AcceptDecision> accept(KeyedRequest request) {
		Objects.requireNonNull(request, "request must not be null");
		CompletableFuture<AcceptDecision> reply = new CompletableFuture<>();
		boolean offered = this.thread.offer(() -> {
			partition(KeyHash.of(request.key())).partition().accept(request, this.clock.instant(), reply::complete);
			startDueAppends();
		});
		if (!offered) {
			reply.complete(new AcceptDecision.Refused(ringFull()));
		}
		return reply.thenCompose((decision) -> withResponse(request.key(), decision));
	}

	@Override
	public CompletionStage<DispatchDecision> dispatch(JournalClaim claim, BackendServerId backendServer,
			String streamId, Instant deadline) {
		Objects.requireNonNull(claim, "claim must not be null");
		CompletableFuture<DispatchDecision> reply = new CompletableFuture<>();
		this.thread.run(() -> {
			partition(KeyHash.of(claim.key())).partition()
				.dispatch(claim, backendServer, streamId, deadline, this.clock.instant(), reply::complete);
			startDueAppends();
		});
		return reply;
	}

	@Override
	public CompletionStage<KeyState> release(JournalClaim claim, Refusal refusal) {
		Objects.requireNonNull(claim, "claim must not be null");
		CompletableFuture<KeyState> reply = new CompletableFuture<>();
		this.thread.run(() -> {
			partition(KeyHash.of(claim.key())).partition().release(claim, this.clock.instant(), reply::complete);
			startDueAppends();
		});
		return reply.thenCompose((state) -> withResponse(KeyHash.of(claim.key()), state));
	}

	@Override
	public CompletionStage<Void> finish(JournalClaim claim, Outcome outcome, @Nullable StoredResponse response) {
		Objects.requireNonNull(claim, "claim must not be null");
		CompletableFuture<Void> reply = new CompletableFuture<>();
		this.thread.run(() -> finish(claim, outcome, response, reply));
		return reply;
	}

	@Override
	public CompletionStage<KeyState> await(IdempotencyKey key, Instant deadline) {
		KeyHash hash = KeyHash.of(key);
		CompletableFuture<KeyState> reply = new CompletableFuture<>();
		this.thread.run(() -> partition(hash).partition().await(hash, deadline, this.clock.instant(), reply::complete));
		return reply.thenCompose((state) -> withResponse(hash, state));
	}

	@Override
	public CompletionStage<KeyState> lookup(OrganisationId organisation, String key) {
		KeyHash hash = KeyHash.of(organisation, key);
		CompletableFuture<KeyState> reply = new CompletableFuture<>();
		this.thread.run(() -> reply.complete(partition(hash).partition().state(hash)));
		return reply.thenCompose((state) -> withResponse(hash, state));
	}

	@Override
	public boolean isReady() {
		return this.ready && !this.stopping;
	}

	private void finish(JournalClaim claim, Outcome outcome, @Nullable StoredResponse response,
			CompletableFuture<Void> reply) {
		JournalPartition partition = partition(KeyHash.of(claim.key())).partition();
		Instant now = this.clock.instant();
		if (outcome == Outcome.NOT_RUN) {
			partition.release(claim, now, (state) -> reply.complete(null));
			return;
		}
		boolean fits = response == null || response.body().length <= this.settings.maximumAnswerBytes();
		boolean kept = partition.finish(claim, outcome, (fits) ? response : null, now, () -> {
			this.takeovers.ended(claim.token());
			reply.complete(null);
		});
		if (!fits || !kept) {
			this.telemetry.counter("journal.answers-not-kept").inc();
		}
	}

	private void tick() {
		Instant now = this.clock.instant();
		this.partitions.forEach((io) -> io.read(now));
		if (!now.isBefore(this.nextExpiry)) {
			this.nextExpiry = now.plus(EXPIRY_INTERVAL);
			this.partitions.forEach((io) -> io.partition().tick(now));
			this.ready = this.partitions.stream().allMatch((io) -> io.partition().isReady(now));
		}
		if (this.ready && !this.stopping && !now.isBefore(this.nextTakeoverCheck)) {
			this.nextTakeoverCheck = now.plus(TAKEOVER_CHECK_INTERVAL);
			this.partitions.forEach(this.takeovers::check);
		}
		startDueAppends();
		if (this.stopping && this.partitions.stream().allMatch((io) -> io.partition().unconfirmedEntries() == 0)) {
			this.flushed.complete(null);
		}
	}

	// The partition whose oldest entry was queued earliest comes first.
	private void startDueAppends() {
		Instant now = this.clock.instant();
		Duration batchDelay = (this.budget.isScarce(now)) ? this.settings.batchDelay() : Duration.ZERO;
		this.partitions.stream()
			.filter((io) -> io.canAppend(now) && isDue(io.partition(), now, batchDelay))
			.sorted(Comparator.comparing((io) -> Objects.requireNonNullElse(io.partition().oldestQueuedAt(true), now)))
			.toList()
			.forEach((io) -> appendWithinBudget(io, now));
	}

	private void appendWithinBudget(PartitionIo io, Instant now) {
		if (this.budget.tryTake(now)) {
			io.append();
		}
		else {
			this.telemetry.counter("journal.append-budget-waits").inc();
		}
	}

	private static boolean isDue(JournalPartition partition, Instant now, Duration batchDelay) {
		Instant oldestAwaited = partition.oldestQueuedAt(false);
		if (oldestAwaited != null) {
			return !now.isBefore(oldestAwaited.plus(batchDelay));
		}
		Instant oldestQueued = partition.oldestQueuedAt(true);
		return oldestQueued != null && !now.isBefore(oldestQueued.plus(MAX_DEFERRABLE_DELAY));
	}

	private PartitionIo partition(KeyHash key) {
		return this.partitions.get(key.partition(this.partitions.size()));
	}

	private CompletionStage<AcceptDecision> withResponse(IdempotencyKey key, AcceptDecision decision) {
		return (decision instanceof AcceptDecision.Finished finished)
				? withResponse(KeyHash.of(key), finished.state()).thenApply(AcceptDecision.Finished::new)
				: CompletableFuture.completedStage(decision);
	}

	private CompletionStage<KeyState> withResponse(KeyHash key, KeyState state) {
		if (state.phase() != KeyPhase.FINISHED || state.outcome() != Outcome.COMPLETED) {
			return CompletableFuture.completedStage(state);
		}
		CompletableFuture<KeyState> reply = new CompletableFuture<>();
		this.thread.run(() -> readResponse(key, state, reply));
		return reply;
	}

	private void readResponse(KeyHash key, KeyState state, CompletableFuture<KeyState> reply) {
		PartitionIo io = partition(key);
		ResponseLocation location = io.partition().responseLocation(key);
		if (location == null) {
			reply.complete(state);
			return;
		}
		this.responseReader.readResponse(io.stream(), location).whenComplete((response, error) -> {
			if (error != null) {
				LOG.warn("journal.answer-unreadable", "stream", io.stream(), "offset", location.offset());
				reply.complete(RESPONSE_UNREADABLE);
			}
			else {
				reply.complete(new KeyState(state.phase(), state.outcome(), response));
			}
		});
	}

	private static Refusal ringFull() {
		return new Refusal(RefusalReason.RING_FULL,
				"The journal is busy; this try was not run, and whether an earlier one was is not known.",
				Outcome.UNKNOWN, Duration.ofSeconds(1));
	}

}
