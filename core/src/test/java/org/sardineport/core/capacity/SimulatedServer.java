package org.sardineport.core.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * A server in virtual time that shares its throughput among the requests it runs, behind
 * a queue in order of arrival. Requests arrive at random and need a random amount of
 * work.
 */
final class SimulatedServer {

	static final int SLOTS = 16;

	/** Mean work of a request: its duration at a low load, in milliseconds. */
	static final double MEAN_WORK_MILLIS = 200;

	/** Time after which a caller whose request still waits gives up. */
	static final long MAX_WAIT_MILLIS = 2000;

	private final ServerCurve curve;

	private final SplittableRandom random;

	private final Deque<Run> waiting = new ArrayDeque<>();

	private final List<Run> running = new ArrayList<>();

	private double loadIntegral;

	long now;

	double arrivalsPerSecond;

	/** Standard deviation of the logarithm of the work of a request. */
	double deviation = 0.5;

	double workFactor = 1;

	/** Time added to what is measured, but not spent by the server. */
	ToDoubleFunction<SplittableRandom> measuredDelay = (source) -> 0;

	int completed;

	int gaveUp;

	double sumOfCallersMillis;

	double sumOfLimits;

	int steps;

	SimulatedServer(ServerCurve curve, double arrivalsPerSecond, long seed) {
		this.curve = curve;
		this.arrivalsPerSecond = arrivalsPerSecond;
		this.random = new SplittableRandom(seed);
	}

	SimulatedServer run(SimulatedLimit limit, long millis) {
		for (long until = this.now + millis; this.now < until; this.now++) {
			step(limit);
		}
		return this;
	}

	SimulatedServer resetCounts() {
		this.completed = 0;
		this.gaveUp = 0;
		this.sumOfCallersMillis = 0;
		this.sumOfLimits = 0;
		this.steps = 0;
		return this;
	}

	double meanCallersMillis() {
		return this.sumOfCallersMillis / (this.completed + this.gaveUp);
	}

	double meanLimit() {
		return this.sumOfLimits / this.steps;
	}

	private void step(SimulatedLimit limit) {
		if (this.random.nextDouble() < this.arrivalsPerSecond / 1000) {
			double work = MEAN_WORK_MILLIS * this.workFactor
					* Math.exp(this.deviation * this.random.nextGaussian() - this.deviation * this.deviation / 2);
			this.waiting.add(new Run(this.now, work));
		}
		while (!this.waiting.isEmpty() && this.now - this.waiting.peek().arrivedAt >= MAX_WAIT_MILLIS) {
			this.waiting.remove();
			this.gaveUp++;
			this.sumOfCallersMillis += MAX_WAIT_MILLIS;
		}
		int allowed = limit.limit(this.running.size(), this.now);
		this.sumOfLimits += allowed;
		this.steps++;
		while (this.running.size() < allowed && !this.waiting.isEmpty()) {
			Run run = this.waiting.remove();
			run.startedAt = this.now;
			run.loadAtStart = this.loadIntegral;
			this.running.add(run);
		}
		int load = this.running.size();
		this.loadIntegral += load;
		double speed = (load > 0) ? this.curve.throughput(load, this.now) / load : 0;
		for (Iterator<Run> runs = this.running.iterator(); runs.hasNext();) {
			Run run = runs.next();
			run.work -= speed;
			if (run.work <= 0) {
				runs.remove();
				long millis = this.now + 1 - run.startedAt;
				this.completed++;
				this.sumOfCallersMillis += this.now + 1 - run.arrivedAt;
				limit.completed((this.loadIntegral - run.loadAtStart) / millis,
						millis + this.measuredDelay.applyAsDouble(this.random), this.now + 1);
			}
		}
	}

	private static final class Run {

		private final long arrivedAt;

		private double work;

		private long startedAt;

		private double loadAtStart;

		Run(long arrivedAt, double work) {
			this.arrivedAt = arrivedAt;
			this.work = work;
		}

	}

}
