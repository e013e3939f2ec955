package org.sardineport.core.journal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.request.Outcome;

/**
 * One daemon of the simulation: the partition under test and a simplified request
 * handler.
 */
final class ModelDaemon {

	static final Instant START = Instant.parse("2026-12-03T20:00:00Z");

	static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(8);

	private static final int LAST_CLOCK_STEP = 2;

	private final ModelSimulation simulation;

	private final int number;

	private final JournalPartition partition;

	private final Set<String> takeoversAttempted = new HashSet<>();

	private int readPosition;

	private int clockStep;

	private boolean arrived;

	private boolean alive = true;

	private Handler handler = Handler.IDLE;

	private @Nullable JournalClaim claim;

	private final List<String> reportedOutcomes = new ArrayList<>();

	private boolean callerWaits;

	ModelDaemon(ModelSimulation simulation, int number) {
		this.simulation = simulation;
		this.number = number;
		this.partition = JournalPartition.create(JournalLimits.of(Duration.ofHours(1)),
				JournalWriter.create(DaemonId.of("d" + number), number + 1),
				(holder, boot) -> simulation.isSuspected(holder));
		long first = this.partition.beginRead();
		this.partition.readEnded(first, 0, true, now());
	}

	private Instant now() {
		return switch (this.clockStep) {
			case 0 -> START;
			case 1 -> START.plus(REQUEST_TIMEOUT).minusMillis(1);
			default -> START.plus(REQUEST_TIMEOUT).plusMillis(1);
		};
	}

	List<ModelStep.Kind> possible() {
		List<ModelStep.Kind> steps = new ArrayList<>();
		if (!this.alive) {
			return steps;
		}
		if (!this.arrived && this.simulation.isNextToArrive(this.number)) {
			steps.add(ModelStep.Kind.ARRIVE);
		}
		if (this.partition.oldestQueuedAt(true) != null) {
			steps.addAll(List.of(ModelStep.Kind.APPEND, ModelStep.Kind.APPEND_RESPONSE_LOST, ModelStep.Kind.APPEND_LOST,
					ModelStep.Kind.APPEND_LATE, ModelStep.Kind.APPEND_REFUSED));
		}
		if (this.readPosition < this.simulation.log().size() || this.partition.isInDoubt()) {
			steps.add(ModelStep.Kind.READ);
		}
		switch (this.handler) {
			case HOLDING -> steps.addAll(List.of(ModelStep.Kind.DISPATCH, ModelStep.Kind.RELEASE));
			case WON -> steps.addAll(List.of(ModelStep.Kind.SEND, ModelStep.Kind.RELEASE));
			case SENT -> steps.add(ModelStep.Kind.COMPLETE);
			default -> {
			}
		}
		if (this.arrived && this.clockStep < LAST_CLOCK_STEP && this.callerWaits
				&& this.simulation.hasClock(this.number)) {
			steps.add(ModelStep.Kind.ADVANCE_CLOCK);
		}
		steps.add(ModelStep.Kind.CRASH);
		if (!this.simulation.isSuspected(this.number)) {
			steps.add(ModelStep.Kind.SUSPECT);
		}
		if (canTakeOver()) {
			steps.add(ModelStep.Kind.TAKE_OVER);
		}
		return steps;
	}

	void apply(ModelStep.Kind kind) {
		switch (kind) {
			case ARRIVE -> arrive();
			case APPEND, APPEND_RESPONSE_LOST, APPEND_LOST, APPEND_LATE, APPEND_REFUSED -> append(kind);
			case READ -> read();
			case DISPATCH -> dispatch();
			case RELEASE -> release();
			case SEND -> send();
			case COMPLETE -> complete();
			case ADVANCE_CLOCK -> {
				this.clockStep++;
				this.partition.tick(now());
			}
			case CRASH -> {
				this.alive = false;
				this.simulation.suspect(this.number);
			}
			case SUSPECT -> this.simulation.suspect(this.number);
			case TAKE_OVER -> takeOver();
			default -> throw new IllegalArgumentException("not a step of a daemon: " + kind);
		}
	}

	private void arrive() {
		this.arrived = true;
		this.callerWaits = true;
		this.partition.accept(this.simulation.request(), now(), this::accepted);
	}

	private void accepted(AcceptDecision decision) {
		if (decision instanceof AcceptDecision.Accepted accepted) {
			hold(accepted.claim());
		}
		else if (decision instanceof AcceptDecision.Joined) {
			awaitEnd();
		}
		else if (decision instanceof AcceptDecision.Finished finished) {
			report(finished.state());
		}
		else if (decision instanceof AcceptDecision.Refused refused) {
			report(refused.refusal().outcome());
		}
	}

	private void hold(JournalClaim held) {
		this.claim = held;
		this.handler = Handler.HOLDING;
	}

	private void dispatch() {
		this.handler = Handler.DISPATCH_PENDING;
		this.partition.dispatch(this.claim, BackendServerId.of("ledger"), "stream", START.plus(REQUEST_TIMEOUT), now(),
				this::dispatched);
		if (this.simulation.variant() == ModelVariant.SENDS_WITHOUT_READ_BACK) {
			this.handler = Handler.WON;
		}
	}

	private void dispatched(DispatchDecision decision) {
		if (decision instanceof DispatchDecision.Won) {
			this.handler = (this.handler == Handler.DISPATCH_PENDING) ? Handler.WON : this.handler;
			return;
		}
		this.handler = Handler.IDLE;
		if (decision instanceof DispatchDecision.Refused refused) {
			report(refused.refusal().outcome());
		}
		else {
			awaitEnd();
		}
	}

	private void release() {
		this.handler = Handler.IDLE;
		if (this.simulation.variant() == ModelVariant.REPORTS_NOT_RUN_BEFORE_RELEASE) {
			report(Outcome.NOT_RUN);
		}
		this.partition.release(this.claim, now(), (state) -> {
			if (state.outcome() == Outcome.NOT_RUN || state.outcome() == Outcome.UNKNOWN) {
				report(state.outcome());
			}
			else {
				awaitEnd();
			}
		});
	}

	private void send() {
		this.handler = Handler.SENT;
		this.simulation.run(this.claim);
	}

	private void complete() {
		this.handler = Handler.IDLE;
		report(Outcome.COMPLETED);
		this.partition.finish(this.claim, Outcome.COMPLETED, null, now(), () -> {
		});
	}

	private void awaitEnd() {
		this.partition.await(KeyHash.of(this.simulation.request().key()), START.plus(REQUEST_TIMEOUT), now(),
				this::report);
	}

	private void report(KeyState state) {
		if (state.outcome() != null) {
			report(state.outcome());
		}
		else {
			report(Outcome.UNKNOWN);
		}
	}

	private void report(Outcome outcome) {
		if (!this.callerWaits) {
			return;
		}
		this.callerWaits = false;
		Outcome reported = outcome;
		if (outcome == Outcome.UNKNOWN && this.simulation.variant() == ModelVariant.REPORTS_NOT_RUN_UNSETTLED) {
			reported = Outcome.NOT_RUN;
		}
		this.reportedOutcomes.add(reported.label());
		if (reported == Outcome.NOT_RUN) {
			this.simulation.reportedNotRun(this.number,
					(hasReadRelease()) ? this.readPosition : this.simulation.log().size());
		}
	}

	private boolean hasReadRelease() {
		return this.simulation.log()
			.subList(0, this.readPosition)
			.stream()
			.flatMap(List::stream)
			.anyMatch((entry) -> entry instanceof JournalEntry.Released);
	}

	private void append(ModelStep.Kind kind) {
		AppendBatch batch = this.partition.nextAppend();
		switch (kind) {
			case APPEND -> {
				this.simulation.log().add(batch.entries());
				this.partition.appended(batch);
			}
			case APPEND_RESPONSE_LOST -> {
				this.simulation.log().add(batch.entries());
				this.partition.appendFailed(batch, LogFailure.UNKNOWN);
			}
			case APPEND_LATE -> {
				this.simulation.late().add(batch.entries());
				this.partition.appendFailed(batch, LogFailure.UNKNOWN);
			}
			case APPEND_LOST -> this.partition.appendFailed(batch, LogFailure.UNKNOWN);
			default -> this.partition.appendFailed(batch, LogFailure.UNAVAILABLE);
		}
	}

	private void read() {
		long number = this.partition.beginRead();
		if (this.readPosition < this.simulation.log().size()) {
			List<JournalEntry> entries = this.simulation.log().get(this.readPosition);
			this.readPosition++;
			this.partition.read(this.readPosition - 1, START, entries, now());
		}
		this.partition.readEnded(number, this.readPosition, this.readPosition == this.simulation.log().size(), now());
	}

	private boolean canTakeOver() {
		return this.partition.active()
			.stream()
			.anyMatch((held) -> this.simulation.isSuspected(held.holder()) && !held.holder().equals(own())
					&& !this.takeoversAttempted.contains(attempt(held)));
	}

	private void takeOver() {
		for (ActiveKey held : List.copyOf(this.partition.active())) {
			if (!this.simulation.isSuspected(held.holder()) || held.holder().equals(own())
					|| !this.takeoversAttempted.add(attempt(held))) {
				continue;
			}
			if (held.isDispatched()) {
				this.partition.finish(held.claim(), Outcome.UNKNOWN, null, now(), () -> {
				});
			}
			else {
				this.partition.takeOver(held, this.simulation.request(), START.plus(REQUEST_TIMEOUT.multipliedBy(2)),
						now(), (decision) -> {
							if (decision instanceof AcceptDecision.Accepted accepted) {
								hold(accepted.claim());
							}
						});
			}
		}
	}

	private static String attempt(ActiveKey held) {
		return held.token() + held.isDispatched();
	}

	private DaemonId own() {
		return DaemonId.of("d" + this.number);
	}

	boolean hasArrived() {
		return this.arrived;
	}

	boolean isAlive() {
		return this.alive;
	}

	boolean isSettled() {
		return !this.callerWaits && this.partition.active().isEmpty() && this.partition.unconfirmedEntries() == 0;
	}

	@Override
	public String toString() {
		return String.join("|", Boolean.toString(this.alive), Boolean.toString(this.arrived),
				Integer.toString(this.clockStep), this.handler.name(), (this.claim != null) ? this.claim.token() : "",
				Boolean.toString(this.callerWaits), this.reportedOutcomes.toString(),
				this.takeoversAttempted.toString(), Integer.toString(this.readPosition), this.partition.toString());
	}

	/**
	 * State of the request handler.
	 */
	private enum Handler {

		IDLE, HOLDING, DISPATCH_PENDING, WON, SENT

	}

}
