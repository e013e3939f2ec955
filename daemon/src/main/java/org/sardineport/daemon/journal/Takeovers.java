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
 * Sees to the requests that dead daemons left behind. All methods are called on the
 * journal's thread.
 */
final class Takeovers {

	private static final Duration DECISION_TIME = Duration.ofSeconds(30);

	private static final EventLog LOG = EventLog.of(Takeovers.class);

	private final TakeoverPlan plan;

	private final FleetView fleet;

	private final AnswerReader reader;

	private final JournalThread thread;

	private final InstantSource clock;

	private final Telemetry telemetry;

	private final Set<String> collecting = new HashSet<>();

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

	void look(PartitionIo io) {
		Instant now = this.clock.instant();
		for (ActiveKey held : this.plan.due(io.partition().active(), this.fleet.current(), now)) {
			if (held.isDispatched()) {
				collect(io, held);
			}
			else if (held.durable() && this.runner != null && now.isBefore(held.deadline())) {
				readRequest(io, held);
			}
			else {
				takeOver(io, held, null);
			}
		}
	}

	// The run has ended, here or elsewhere.
	void ended(String token) {
		this.collecting.remove(token);
	}

	private void collect(PartitionIo io, ActiveKey held) {
		if (!this.collecting.add(held.token())) {
			return;
		}
		this.telemetry.counter("journal.takeovers.dispatched").inc();
		LOG.info("journal.takeover", "request", held.key().value(), "holder", held.holder(), "phase", "dispatched");
		DurableRunner durableRunner = this.runner;
		if (held.durable() && durableRunner != null && held.backendServer() != null && held.streamId() != null) {
			durableRunner
				.resume(new DispatchedRun(held.claim(), held.backendServer(), held.streamId(), held.deadline()));
		}
		else {
			io.partition().finish(held.claim(), Outcome.UNKNOWN, null, this.clock.instant(), () -> ended(held.token()));
		}
	}

	private void readRequest(PartitionIo io, ActiveKey held) {
		this.reader.request(io.stream(), held.acceptedOffset(), held.token())
			.whenComplete((request, error) -> this.thread.run(() -> {
				if (error == null) {
					takeOver(io, held, request);
				}
			}));
	}

	private void takeOver(PartitionIo io, ActiveKey held, @Nullable KeyedRequest request) {
		Instant now = this.clock.instant();
		this.telemetry.counter("journal.takeovers.accepted").inc();
		LOG.info("journal.takeover", "request", held.key().value(), "holder", held.holder(), "phase", "accepted");
		Instant until = (request != null) ? request.deadline() : now.plus(DECISION_TIME);
		io.partition().takeOver(held, request, until, now, (decision) -> {
			if (decision instanceof AcceptDecision.Accepted accepted) {
				tookOver(io, accepted.claim(), request);
			}
		});
	}

	private void tookOver(PartitionIo io, JournalClaim claim, @Nullable KeyedRequest request) {
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
