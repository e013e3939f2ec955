package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.sardineport.core.overload.OverloadControl;
import org.sardineport.core.overload.StateTransition;
import org.sardineport.core.overload.TimerLateness;
import org.sardineport.core.overload.TransitionLimit;
import org.sardineport.core.relay.ArrivalEstimate;
import org.sardineport.core.request.Tier;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Measures by how much the event loop and the scheduling thread are behind, exports it,
 * and decides on requests by it. Confined to the event loop, except where noted.
 */
final class OverloadMeter {

	private static final EventLog LOG = EventLog.of(OverloadMeter.class);

	private final InstantSource clock;

	private final Telemetry telemetry;

	private final OverloadControl control;

	private final TimerLateness timer;

	private final TransitionLimit transitions;

	/** Maximum since the last measurement, in nanoseconds. */
	private final AtomicLong schedulingDelay = new AtomicLong();

	private Duration readDelay = Duration.ZERO;

	private OverloadMeter(InstantSource clock, RandomGenerator random, Telemetry telemetry) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.telemetry = Objects.requireNonNull(telemetry, "telemetry must not be null");
		this.control = OverloadControl.create(clock, random);
		this.timer = TimerLateness.of(ArrivalEstimate.TICK, clock.instant());
		this.transitions = TransitionLimit.create(clock);
	}

	/**
	 * Returns a meter of a daemon that is not overloaded.
	 * @param clock a steady clock
	 * @param random spreads the times at which callers retry
	 * @param telemetry receives the gauges and counters
	 * @return the meter
	 */
	static OverloadMeter create(InstantSource clock, RandomGenerator random, Telemetry telemetry) {
		OverloadMeter created = new OverloadMeter(clock, random, telemetry);
		created.register();
		return created;
	}

	private void register() {
		gauge("overload.active", () -> this.control.isOverloaded() ? 1 : 0);
		gauge("overload.loop-delay-ms", () -> this.control.loopDelay().toMillis());
		gauge("overload.scheduling-delay-ms", () -> this.control.schedulingDelay().toMillis());
		gauge("overload.refused-share", this.control::refusedShare);
		this.telemetry.counter("overload.begun");
		this.telemetry.counter("overload.dropped-unread");
		this.telemetry.counter("overload.dropped-before-dispatch");
	}

	private void gauge(String name, Gauge<Number> gauge) {
		MetricRegistry registry = this.telemetry.registry();
		registry.gauge(name, () -> gauge);
	}

	/**
	 * Records that the timer starts, after a time in which it was not needed.
	 */
	void timerStarted() {
		this.timer.ran(this.clock.instant());
	}

	/**
	 * Records a run of the timer with the interval {@link ArrivalEstimate#TICK}.
	 */
	void ticked() {
		Instant now = this.clock.instant();
		Duration late = this.timer.at(now);
		if (!this.timer.ran(now)) {
			return;
		}
		Duration loop = (late.compareTo(this.readDelay) >= 0) ? late : this.readDelay;
		this.readDelay = Duration.ZERO;
		boolean wasOverloaded = this.control.isOverloaded();
		this.control.record(loop, Duration.ofNanos(this.schedulingDelay.getAndSet(0)));
		if (!wasOverloaded && this.control.isOverloaded()) {
			this.telemetry.counter("overload.begun").inc();
		}
		this.transitions.record(this.control.isOverloaded()).ifPresent(this::report);
	}

	private void report(StateTransition transition) {
		if (transition.begins()) {
			LOG.warn("overload.began", "loop-delay-ms", this.control.loopDelay().toMillis(), "scheduling-delay-ms",
					this.control.schedulingDelay().toMillis(), "unreported", transition.suppressed());
		}
		else {
			LOG.info("overload.ended", "lasted-ms", transition.lasted().toMillis());
		}
	}

	/**
	 * Records how long a request may have waited to be read.
	 * @param age time since it may have arrived
	 */
	void requestRead(Duration age) {
		this.readDelay = (age.compareTo(this.readDelay) > 0) ? age : this.readDelay;
	}

	/**
	 * Records how long a request for a permit waited for the scheduling thread. Safe for
	 * use by any thread.
	 * @param delay the time
	 */
	void scheduled(Duration delay) {
		this.schedulingDelay.accumulateAndGet(delay.toNanos(), Math::max);
	}

	/**
	 * Decides on a request that was read.
	 * @param tier its tier
	 * @param remaining time for which its caller still waits for the response
	 * @return the time after which the caller may retry, if the request must be refused
	 */
	Optional<Duration> check(Tier tier, Duration remaining) {
		return this.control.check(tier, remaining);
	}

	/**
	 * Returns the delay of the event loop, for the detail of refusals.
	 * @return the delay in milliseconds
	 */
	long loopDelayMillis() {
		return this.control.loopDelay().toMillis();
	}

	/**
	 * Returns the delay of the scheduling thread, for the detail of refusals.
	 * @return the delay in milliseconds
	 */
	long schedulingDelayMillis() {
		return this.control.schedulingDelay().toMillis();
	}

	/**
	 * Counts a request whose caller had closed its connection before it was parsed.
	 */
	void droppedUnread() {
		this.telemetry.counter("overload.dropped-unread").inc();
	}

	/**
	 * Counts a permit that was not used, as its request had ended by the read pass before
	 * the dispatch.
	 */
	void droppedBeforeDispatch() {
		this.telemetry.counter("overload.dropped-before-dispatch").inc();
	}

}
