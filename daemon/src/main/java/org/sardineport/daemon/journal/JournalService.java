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
 * The journal of one daemon, on a thread of its own. Safe for use by any thread.
 */
public final class JournalService implements RequestJournal, Service {

	private static final Duration LOOK_INTERVAL = Duration.ofMillis(250);

	private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(20);

	/** Longest time that the end of a request waits for others to share its append. */
	private static final Duration PATIENCE = Duration.ofMillis(100);

	/** What is told of an answer that is kept while the log cannot be read. */
	private static final KeyState NOT_READABLE_NOW = new KeyState(KeyPhase.DISPATCHED, null, null);

	private static final EventLog LOG = EventLog.of(JournalService.class);

	private final JournalSettings settings;

	private final InstantSource clock;

	private final Telemetry telemetry;

	private final JournalThread thread = JournalThread.create(this::tick);

	private final List<PartitionIo> partitions = new ArrayList<>();

	private final AppendBudget budget;

	private final AnswerReader answers;

	private final Takeovers takeovers;

	private final CompletableFuture<Void> flushed = new CompletableFuture<>();

	private Instant nextLook = Instant.MIN;

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
		this.answers = AnswerReader.create(log);
		JournalWriter writer = JournalWriter.create(daemon, boot);
		TakeoverPlan plan = TakeoverPlan.create(writer, settings.takeoverAfter());
		this.takeovers = Takeovers.create(plan, fleet, this.answers, this.thread, clock, telemetry);
		JournalLimits limits = JournalLimits.of(settings.replayWindow());
		SplittableRandom random = new SplittableRandom(boot);
		for (int number = 0; number < settings.partitions(); number++) {
			this.partitions.add(PartitionIo.create(JournalPartition.create(limits, writer, plan),
					"%s.journal.%d".formatted(fleetName, number), log, this.thread, clock, telemetry, random));
		}
	}

	/**
	 * Returns a journal that is not started yet.
	 * @param fleetName name of the fleet, which its streams carry
	 * @param daemon name of this daemon
	 * @param boot number that no other process of this daemon has
	 * @param settings the settings
	 * @param log the log service
	 * @param fleet says which daemons are alive
	 * @param clock the clock
	 * @param telemetry the metrics
	 * @return the journal
	 */
	public static JournalService create(String fleetName, DaemonId daemon, long boot, JournalSettings settings,
			LogService log, FleetView fleet, InstantSource clock, Telemetry telemetry) {
		return new JournalService(fleetName, daemon, boot, settings, log, fleet, clock, telemetry);
	}

	/**
	 * Sets who runs what is taken over. Without a runner durable requests of dead daemons
	 * end without being run.
	 * @param runner the runner
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
	 * Stops the journal once all its entries are in the log. While the log is down it
	 * goes on trying.
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
		boolean taken = this.thread.offer(() -> {
			partition(KeyHash.of(request.key())).partition().accept(request, this.clock.instant(), reply::complete);
			pump();
		});
		if (!taken) {
			reply.complete(new AcceptDecision.Refused(ringFull()));
		}
		return reply.thenCompose((decision) -> withAnswer(request.key(), decision));
	}

	@Override
	public CompletionStage<DispatchDecision> dispatch(JournalClaim claim, BackendServerId backendServer,
			String streamId, Instant deadline) {
		Objects.requireNonNull(claim, "claim must not be null");
		CompletableFuture<DispatchDecision> reply = new CompletableFuture<>();
		this.thread.run(() -> {
			partition(KeyHash.of(claim.key())).partition()
				.dispatch(claim, backendServer, streamId, deadline, this.clock.instant(), reply::complete);
			pump();
		});
		return reply;
	}

	@Override
	public CompletionStage<KeyState> release(JournalClaim claim, Refusal refusal) {
		Objects.requireNonNull(claim, "claim must not be null");
		CompletableFuture<KeyState> reply = new CompletableFuture<>();
		this.thread.run(() -> {
			partition(KeyHash.of(claim.key())).partition().release(claim, this.clock.instant(), reply::complete);
			pump();
		});
		return reply.thenCompose((state) -> withAnswer(KeyHash.of(claim.key()), state));
	}

	@Override
	public CompletionStage<Void> finish(JournalClaim claim, Outcome outcome, @Nullable StoredResponse answer) {
		Objects.requireNonNull(claim, "claim must not be null");
		CompletableFuture<Void> reply = new CompletableFuture<>();
		this.thread.run(() -> finish(claim, outcome, answer, reply));
		return reply;
	}

	@Override
	public CompletionStage<KeyState> await(IdempotencyKey key, Instant deadline) {
		KeyHash hash = KeyHash.of(key);
		CompletableFuture<KeyState> reply = new CompletableFuture<>();
		this.thread.run(() -> partition(hash).partition().await(hash, deadline, this.clock.instant(), reply::complete));
		return reply.thenCompose((state) -> withAnswer(hash, state));
	}

	@Override
	public CompletionStage<KeyState> lookup(OrganisationId organisation, String key) {
		KeyHash hash = KeyHash.of(organisation, key);
		CompletableFuture<KeyState> reply = new CompletableFuture<>();
		this.thread.run(() -> reply.complete(partition(hash).partition().state(hash)));
		return reply.thenCompose((state) -> withAnswer(hash, state));
	}

	@Override
	public boolean isReady() {
		return this.ready && !this.stopping;
	}

	private void finish(JournalClaim claim, Outcome outcome, @Nullable StoredResponse answer,
			CompletableFuture<Void> reply) {
		JournalPartition partition = partition(KeyHash.of(claim.key())).partition();
		Instant now = this.clock.instant();
		if (outcome == Outcome.NOT_RUN) {
			partition.release(claim, now, (state) -> reply.complete(null));
			return;
		}
		boolean fits = answer == null || answer.body().length <= this.settings.maximumAnswerBytes();
		boolean kept = partition.finish(claim, outcome, (fits) ? answer : null, now, () -> {
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
		if (this.ready && !this.stopping && !now.isBefore(this.nextLook)) {
			this.nextLook = now.plus(LOOK_INTERVAL);
			this.partitions.forEach(this.takeovers::look);
		}
		pump();
		if (this.stopping && this.partitions.stream().allMatch((io) -> io.partition().unconfirmedEntries() == 0)) {
			this.flushed.complete(null);
		}
	}

	// Starts the appends that are due, the longest waiting first.
	private void pump() {
		Instant now = this.clock.instant();
		Duration gather = (this.budget.isScarce(now)) ? this.settings.batchDelay() : Duration.ZERO;
		this.partitions.stream()
			.filter((io) -> io.canAppend(now) && isDue(io.partition(), now, gather))
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

	private static boolean isDue(JournalPartition partition, Instant now, Duration gather) {
		Instant urgent = partition.oldestQueuedAt(false);
		if (urgent != null) {
			return !now.isBefore(urgent.plus(gather));
		}
		Instant patient = partition.oldestQueuedAt(true);
		return patient != null && !now.isBefore(patient.plus(PATIENCE));
	}

	private PartitionIo partition(KeyHash key) {
		return this.partitions.get(key.partition(this.partitions.size()));
	}

	private CompletionStage<AcceptDecision> withAnswer(IdempotencyKey key, AcceptDecision decision) {
		return (decision instanceof AcceptDecision.Finished finished)
				? withAnswer(KeyHash.of(key), finished.state()).thenApply(AcceptDecision.Finished::new)
				: CompletableFuture.completedStage(decision);
	}

	private CompletionStage<KeyState> withAnswer(KeyHash key, KeyState state) {
		if (state.phase() != KeyPhase.FINISHED || state.outcome() != Outcome.COMPLETED) {
			return CompletableFuture.completedStage(state);
		}
		CompletableFuture<KeyState> reply = new CompletableFuture<>();
		this.thread.run(() -> readAnswer(key, state, reply));
		return reply;
	}

	private void readAnswer(KeyHash key, KeyState state, CompletableFuture<KeyState> reply) {
		PartitionIo io = partition(key);
		ResponseLocation location = io.partition().responseLocation(key);
		if (location == null) {
			reply.complete(state);
			return;
		}
		this.answers.answer(io.stream(), location).whenComplete((answer, error) -> {
			if (error != null) {
				LOG.warn("journal.answer-unreadable", "stream", io.stream(), "offset", location.offset());
				reply.complete(NOT_READABLE_NOW);
			}
			else {
				reply.complete(new KeyState(state.phase(), state.outcome(), answer));
			}
		});
	}

	private static Refusal ringFull() {
		return new Refusal(RefusalReason.RING_FULL,
				"The journal is busy; this try was not run, and whether an earlier one was is not known.",
				Outcome.UNKNOWN, Duration.ofSeconds(1));
	}

}
