package org.sardineport.daemon.journal;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.journal.AcceptDecision;
import org.sardineport.core.journal.ActiveKey;
import org.sardineport.core.journal.DispatchedRun;
import org.sardineport.core.journal.DurableRunner;
import org.sardineport.core.journal.JournalClaim;
import org.sardineport.core.journal.KeyedRequest;
import org.sardineport.core.journal.TakeoverPlan;
import org.sardineport.core.request.Outcome;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Takes over the requests of dead daemons. Durable requests that were not dispatched are
 * run and dispatched ones are resumed; all others are ended. All methods are called on
 * the journal's thread.
 */
final class Takeovers {

	private static final Duration DECISION_TIMEOUT = Duration.ofSeconds(30);

	private static final EventLog LOG = EventLog.of(Takeovers.class);

	private final TakeoverPlan plan;

	private final FleetView fleet;

	private final AnswerReader reader;

	private final JournalThread thread;

	private final InstantSource clock;

	private final Telemetry telemetry;

	private final Set<String> inProgress = new HashSet<>();

	private @Nullable DurableRunner runner;

	private Takeovers(TakeoverPlan plan, FleetView fleet, AnswerReader reader, JournalThread thread,
			InstantSource clock, Telemetry telemetry) {
		this.plan = plan;
		this.fleet = fleet;
		this.reader = reader;
		this.thread = thread;
		this.clock = clock;
		this.telemetry = telemetry;
	}

	static Takeovers create(TakeoverPlan plan, FleetView fleet, AnswerReader reader, JournalThread thread,
			InstantSource clock, Telemetry telemetry) {
		return new Takeovers(plan, fleet, reader, thread, clock, telemetry);
	}

	void runner(DurableRunner durableRunner) {
		this.runner = durableRunner;
	}

	void check(PartitionIo io) {
		Instant now = this.clock.instant();
		for (ActiveKey activeKey : this.plan.due(io.partition().active(), this.fleet.current(), now)) {
			if (activeKey.isDispatched()) {
				takeOverDispatched(io, activeKey);
			}
			else if (activeKey.durable() && this.runner != null && now.isBefore(activeKey.deadline())) {
				readRequest(io, activeKey);
			}
			else {
				takeOver(io, activeKey, null);
			}
		}
	}

	// Called when the run of a claim has ended, in this process or elsewhere.
	void ended(String token) {
		this.inProgress.remove(token);
	}

	private void takeOverDispatched(PartitionIo io, ActiveKey activeKey) {
		if (!this.inProgress.add(activeKey.token())) {
			return;
		}
		this.telemetry.counter("journal.takeovers.dispatched").inc();
		LOG.info("journal.takeover", "request", activeKey.key().value(), "holder", activeKey.holder(), "phase",
				"dispatched");
		DurableRunner durableRunner = this.runner;
		if (activeKey.durable() && durableRunner != null && activeKey.backendServer() != null
				&& activeKey.streamId() != null) {
			durableRunner.resume(new DispatchedRun(activeKey.claim(), activeKey.backendServer(), activeKey.streamId(),
					activeKey.deadline()));
		}
		else {
			io.partition()
				.finish(activeKey.claim(), Outcome.UNKNOWN, null, this.clock.instant(), () -> ended(activeKey.token()));
		}
	}

	private void readRequest(PartitionIo io, ActiveKey activeKey) {
		this.reader.readRequest(io.stream(), activeKey.acceptedOffset(), activeKey.token())
			.whenComplete((request, error) -> this.thread.run(() -> {
				if (error == null) {
					takeOver(io, activeKey, request);
				}
			}));
	}

	private void takeOver(PartitionIo io, ActiveKey activeKey, @Nullable KeyedRequest request) {
		Instant now = this.clock.instant();
		this.telemetry.counter("journal.takeovers.accepted").inc();
		LOG.info("journal.takeover", "request", activeKey.key().value(), "holder", activeKey.holder(), "phase",
				"accepted");
		Instant deadline = (request != null) ? request.deadline() : now.plus(DECISION_TIMEOUT);
		io.partition().takeOver(activeKey, request, deadline, now, (decision) -> {
			if (decision instanceof AcceptDecision.Accepted accepted) {
				runOrRelease(io, accepted.claim(), request);
			}
		});
	}

	private void runOrRelease(PartitionIo io, JournalClaim claim, @Nullable KeyedRequest request) {
		DurableRunner durableRunner = this.runner;
		if (request != null && durableRunner != null) {
			durableRunner.run(request, claim);
		}
		else {
			io.partition().release(claim, this.clock.instant(), (state) -> {
			});
		}
	}

}
