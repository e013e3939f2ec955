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
 * One daemon of the model: the partition under test, and a handler of requests.
 */
final class ModelDaemon {

	static final Instant START = Instant.parse("2026-12-03T20:00:00Z");

	static final Duration TIME = Duration.ofSeconds(8);

	private static final int LAST_HOUR = 2;

	private final ModelWorld world;

	private final int number;

	private final JournalPartition partition;

	private final Set<String> tried = new HashSet<>();

	private int read;

	private int hour;

	private boolean arrived;

	private boolean alive = true;

	private Handler handler = Handler.IDLE;

	private @Nullable JournalClaim claim;

	private final List<String> told = new ArrayList<>();

	private boolean callerWaits;

	ModelDaemon(ModelWorld world, int number) {
		this.world = world;
		this.number = number;
		this.partition = JournalPartition.create(JournalLimits.of(Duration.ofHours(1)),
				JournalWriter.create(DaemonId.of("d" + number), number + 1),
				(holder, boot) -> world.isSuspected(holder));
		long first = this.partition.beginRead();
		this.partition.readEnded(first, 0, true, now());
	}

	private Instant now() {
		return switch (this.hour) {
			case 0 -> START;
			case 1 -> START.plus(TIME).minusMillis(1);
			default -> START.plus(TIME).plusMillis(1);
		};
	}

	List<ModelStep.Kind> possible() {
		List<ModelStep.Kind> steps = new ArrayList<>();
		if (!this.alive) {
			return steps;
		}
		if (!this.arrived && this.world.isNextToArrive(this.number)) {
			steps.add(ModelStep.Kind.ARRIVE);
		}
		if (this.partition.waitingSince(true) != null) {
			steps.addAll(List.of(ModelStep.Kind.APPEND, ModelStep.Kind.APPEND_ANSWER_LOST, ModelStep.Kind.APPEND_LOST,
					ModelStep.Kind.APPEND_LATE, ModelStep.Kind.APPEND_REFUSED));
		}
		if (this.read < this.world.log().size() || this.partition.isInDoubt()) {
			steps.add(ModelStep.Kind.READ);
		}
		switch (this.handler) {
			case HOLDING -> steps.addAll(List.of(ModelStep.Kind.DISPATCH, ModelStep.Kind.RELEASE));
			case WON -> steps.addAll(List.of(ModelStep.Kind.SEND, ModelStep.Kind.RELEASE));
			case SENT -> steps.add(ModelStep.Kind.COMPLETE);
			default -> {
			}
		}
		if (this.arrived && this.hour < LAST_HOUR && this.callerWaits && this.world.hasClock(this.number)) {
			steps.add(ModelStep.Kind.TIME);
		}
		steps.add(ModelStep.Kind.CRASH);
		if (!this.world.isSuspected(this.number)) {
			steps.add(ModelStep.Kind.SUSPECT);
		}
		if (canTakeOver()) {
			steps.add(ModelStep.Kind.TAKE_OVER);
		}
		return steps;
	}

	void take(ModelStep.Kind kind) {
		switch (kind) {
			case ARRIVE -> arrive();
			case APPEND, APPEND_ANSWER_LOST, APPEND_LOST, APPEND_LATE, APPEND_REFUSED -> append(kind);
			case READ -> read();
			case DISPATCH -> dispatch();
			case RELEASE -> release();
			case SEND -> send();
			case COMPLETE -> complete();
			case TIME -> {
				this.hour++;
				this.partition.tick(now());
			}
			case CRASH -> {
				this.alive = false;
				this.world.suspect(this.number);
			}
			case SUSPECT -> this.world.suspect(this.number);
			case TAKE_OVER -> takeOver();
			default -> throw new IllegalArgumentException("not a step of a daemon: " + kind);
		}
	}

	private void arrive() {
		this.arrived = true;
		this.callerWaits = true;
		this.partition.accept(this.world.request(), now(), this::accepted);
	}

	private void accepted(AcceptDecision decision) {
		if (decision instanceof AcceptDecision.Accepted accepted) {
			hold(accepted.claim());
		}
		else if (decision instanceof AcceptDecision.Joined) {
			follow();
		}
		else if (decision instanceof AcceptDecision.Finished finished) {
			tell(finished.state());
		}
		else if (decision instanceof AcceptDecision.Refused refused) {
			tell(refused.refusal().outcome());
		}
	}

	private void hold(JournalClaim held) {
		this.claim = held;
		this.handler = Handler.HOLDING;
	}

	private void dispatch() {
		this.handler = Handler.ASKING;
		this.partition.dispatch(this.claim, BackendServerId.of("ledger"), "stream", START.plus(TIME), now(),
				this::dispatched);
		if (this.world.variant() == ModelVariant.SENDS_WITHOUT_READ_BACK) {
			this.handler = Handler.WON;
		}
	}

	private void dispatched(DispatchDecision decision) {
		if (decision instanceof DispatchDecision.Won) {
			this.handler = (this.handler == Handler.ASKING) ? Handler.WON : this.handler;
			return;
		}
		this.handler = Handler.IDLE;
		if (decision instanceof DispatchDecision.Refused refused) {
			tell(refused.refusal().outcome());
		}
		else {
			follow();
		}
	}

	private void release() {
		this.handler = Handler.IDLE;
		if (this.world.variant() == ModelVariant.SAYS_NOT_RUN_BEFORE_RELEASE) {
			tell(Outcome.NOT_RUN);
		}
		this.partition.release(this.claim, now(), (state) -> {
			if (state.outcome() == Outcome.NOT_RUN || state.outcome() == Outcome.UNKNOWN) {
				tell(state.outcome());
			}
			else {
				follow();
			}
		});
	}

	private void send() {
		this.handler = Handler.SENT;
		this.world.run(this.claim);
	}

	private void complete() {
		this.handler = Handler.IDLE;
		tell(Outcome.COMPLETED);
		this.partition.finish(this.claim, Outcome.COMPLETED, null, now(), () -> {
		});
	}

	private void follow() {
		this.partition.await(KeyHash.of(this.world.request().key()), START.plus(TIME), now(), this::tell);
	}

	private void tell(KeyState state) {
		if (state.outcome() != null) {
			tell(state.outcome());
		}
		else {
			tell(Outcome.UNKNOWN);
		}
	}

	private void tell(Outcome outcome) {
		if (!this.callerWaits) {
			return;
		}
		this.callerWaits = false;
		Outcome said = outcome;
		if (outcome == Outcome.UNKNOWN && this.world.variant() == ModelVariant.SAYS_NOT_RUN_UNSETTLED) {
			said = Outcome.NOT_RUN;
		}
		this.told.add(said.label());
		if (said == Outcome.NOT_RUN) {
			this.world.toldNotRun(this.number, (hasReadRelease()) ? this.read : this.world.log().size());
		}
	}

	private boolean hasReadRelease() {
		return this.world.log()
			.subList(0, this.read)
			.stream()
			.flatMap(List::stream)
			.anyMatch((entry) -> entry instanceof JournalEntry.Released);
	}

	private void append(ModelStep.Kind kind) {
		AppendBatch batch = this.partition.nextAppend();
		switch (kind) {
			case APPEND -> {
				this.world.log().add(batch.entries());
				this.partition.appended(batch);
			}
			case APPEND_ANSWER_LOST -> {
				this.world.log().add(batch.entries());
				this.partition.appendFailed(batch, LogFailure.UNKNOWN);
			}
			case APPEND_LATE -> {
				this.world.late().add(batch.entries());
				this.partition.appendFailed(batch, LogFailure.UNKNOWN);
			}
			case APPEND_LOST -> this.partition.appendFailed(batch, LogFailure.UNKNOWN);
			default -> this.partition.appendFailed(batch, LogFailure.UNAVAILABLE);
		}
	}

	private void read() {
		long number = this.partition.beginRead();
		if (this.read < this.world.log().size()) {
			List<JournalEntry> entries = this.world.log().get(this.read);
			this.read++;
			this.partition.read(this.read - 1, START, entries, now());
		}
		this.partition.readEnded(number, this.read, this.read == this.world.log().size(), now());
	}

	private boolean canTakeOver() {
		return this.partition.active()
			.stream()
			.anyMatch((held) -> this.world.isSuspected(held.holder()) && !held.holder().equals(own())
					&& !this.tried.contains(attempt(held)));
	}

	private void takeOver() {
		for (ActiveKey held : List.copyOf(this.partition.active())) {
			if (!this.world.isSuspected(held.holder()) || held.holder().equals(own())
					|| !this.tried.add(attempt(held))) {
				continue;
			}
			if (held.isDispatched()) {
				this.partition.finish(held.claim(), Outcome.UNKNOWN, null, now(), () -> {
				});
			}
			else {
				this.partition.takeOver(held, this.world.request(), START.plus(TIME.multipliedBy(2)), now(),
						(decision) -> {
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
		return !this.callerWaits && this.partition.active().isEmpty() && this.partition.pending() == 0;
	}

	@Override
	public String toString() {
		return String.join("|", Boolean.toString(this.alive), Boolean.toString(this.arrived),
				Integer.toString(this.hour), this.handler.name(), (this.claim != null) ? this.claim.token() : "",
				Boolean.toString(this.callerWaits), this.told.toString(), this.tried.toString(),
				Integer.toString(this.read), this.partition.toString());
	}

	/**
	 * Where the handler is.
	 */
	private enum Handler {

		IDLE, HOLDING, ASKING, WON, SENT

	}

}
