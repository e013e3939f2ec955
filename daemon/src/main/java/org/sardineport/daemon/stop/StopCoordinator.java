package org.sardineport.daemon.stop;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;

import org.sardineport.core.stop.PlannedStop;
import org.sardineport.core.stop.StopPhase;
import org.sardineport.core.stop.StopTiming;
import org.sardineport.daemon.eventloop.EventLoop;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Thread that takes a daemon through its planned stop. It starts with the first stop
 * request. Safe for use by any thread.
 */
public final class StopCoordinator {

	private static final EventLog LOG = EventLog.of(StopCoordinator.class);

	private static final int RING_SIZE = 16;

	private static final Duration TICK = Duration.ofMillis(20);

	private final EventLoop eventLoop;

	private final PlannedStop state;

	private final StopActions actions;

	private final Telemetry telemetry;

	private final AtomicBoolean requested = new AtomicBoolean();

	private final CompletableFuture<Void> announced = new CompletableFuture<>();

	private final CompletableFuture<Void> flushed = new CompletableFuture<>();

	private final CompletableFuture<Void> ended = new CompletableFuture<>();

	private StopPhase phase = StopPhase.SERVING;

	private StopCoordinator(StopTiming timing, StopActions actions, InstantSource clock, Telemetry telemetry) {
		this.eventLoop = EventLoop.create("planned-stop", RING_SIZE, TICK, this::tick);
		this.state = PlannedStop.create(timing, clock);
		this.actions = actions;
		this.telemetry = telemetry;
	}

	/**
	 * Returns a planned stop that has not been requested yet.
	 * @param timing linger time and limit of the stop
	 * @param actions effects of the stop on the daemon
	 * @param clock the clock
	 * @param telemetry counts further stop requests and requests that are cut off
	 * @return the planned stop
	 */
	public static StopCoordinator create(StopTiming timing, StopActions actions, InstantSource clock,
			Telemetry telemetry) {
		Objects.requireNonNull(actions, "actions must not be null");
		Objects.requireNonNull(telemetry, "telemetry must not be null");
		return new StopCoordinator(timing, actions, clock, telemetry);
	}

	/**
	 * Requests the stop. Only the first call has an effect.
	 * @return completes when no request is in flight and all durable data is written, or
	 * when the limit of the stop has passed
	 */
	public CompletionStage<Void> request() {
		if (!this.requested.compareAndSet(false, true)) {
			this.telemetry.counter("stop.request-ignored").inc();
			LOG.info("stop.request-ignored", "reason", "a planned stop is under way");
			return this.ended.copy();
		}
		this.eventLoop.offer(this::begin);
		this.eventLoop.start();
		return this.ended.copy();
	}

	private void begin() {
		this.state.request(this.actions.hasNeverServed());
		this.actions.announce().whenComplete((nothing, failure) -> this.announced.complete(null));
		LOG.info("stop.requested", "in-flight", this.actions.inFlight());
	}

	private void tick() {
		if (this.announced.isDone()) {
			this.state.announced();
		}
		StopPhase next = this.state.advance(this.actions.inFlight(), this.flushed.isDone());
		while (this.phase != next) {
			this.phase = StopPhase.values()[this.phase.ordinal() + 1];
			enter(this.phase);
		}
	}

	private void enter(StopPhase entered) {
		LOG.info("stop.phase", "phase", entered.label(), "in-flight", this.actions.inFlight());
		switch (entered) {
			case DRAINING -> this.actions.refuseNewRequests();
			case FLUSHING -> flush();
			case ENDED -> end();
			case SERVING, LINGERING -> {
			}
		}
	}

	private void flush() {
		if (this.state.isAborted()) {
			this.telemetry.counter("stop.cut-off").inc(this.actions.inFlight());
			LOG.warn("stop.cut-off", "in-flight", this.actions.inFlight(), "reason", "the operators' limit has passed");
		}
		this.actions.flush().whenComplete((nothing, failure) -> {
			if (failure != null) {
				LOG.error("stop.flush-failed", failure);
			}
			this.flushed.complete(null);
		});
	}

	private void end() {
		this.eventLoop.stop();
		this.ended.complete(null);
	}

}
