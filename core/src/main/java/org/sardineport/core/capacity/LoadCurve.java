package org.sardineport.core.capacity;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;

/**
 * Recent runs of one backend server by the load during them. Two ranges of load are
 * compared only within the same short interval, so that changes of the speed or of the
 * mix of requests from one interval to another are not taken for an effect of the load.
 * Not thread-safe.
 */
final class LoadCurve {

	/** Maximum number of runs kept. */
	private static final int MAX_SAMPLES = 512;

	/** Number of intervals for which a run is kept. */
	private static final int MAX_BLOCKS = 24;

	/**
	 * Bound on the difference of one interval, so that a stall of a second cannot decide
	 * alone.
	 */
	private static final double MAX_DIFFERENCE = 1.5;

	/** Smallest standard deviation of the logarithm of a time, against exact fits. */
	private static final double MIN_DEVIATION = 0.05;

	/** Smallest number of runs in each range for a standard deviation. */
	private static final int MIN_RUNS = 6;

	/**
	 * Smallest share of the evidence that comes from intervals in which the load rose,
	 * and from those in which it fell.
	 */
	private static final double MIN_SHARE = 0.15;

	private final Deque<RunSample> samples = new ArrayDeque<>();

	void add(long block, long startedAt, long endedAt, double load, double millis) {
		double bounded = Math.max(1, load);
		this.samples.addLast(
				new RunSample(block, startedAt, endedAt, bounded, Math.log(bounded), Math.log(Math.max(1e-3, millis))));
		while (this.samples.size() > MAX_SAMPLES || this.samples.getFirst().block() <= block - MAX_BLOCKS) {
			this.samples.removeFirst();
		}
	}

	void removeBefore(long time) {
		while (!this.samples.isEmpty() && this.samples.getFirst().endedAt() < time) {
			this.samples.removeFirst();
		}
	}

	/**
	 * Compares the throughput at two ranges of load.
	 * @param lowFrom lower bound of the lower range, exclusive
	 * @param lowTo its upper bound, inclusive
	 * @param highFrom lower bound of the higher range, exclusive
	 * @param highTo its upper bound, inclusive
	 * @param since time from which on compared runs started
	 * @return the gain from the lower to the higher range
	 */
	ThroughputGain gain(double lowFrom, double lowTo, double highFrom, double highTo, long since) {
		Comparison comparison = new Comparison();
		for (RunSample sample : this.samples) {
			if (sample.startedAt() >= since) {
				boolean low = sample.load() > lowFrom && sample.load() <= lowTo;
				if (low || (sample.load() > highFrom && sample.load() <= highTo)) {
					comparison.add(sample, (low) ? 0 : 1);
				}
			}
		}
		return comparison.result();
	}

	/**
	 * Returns the mean logarithm of the throughput at a range of load.
	 * @param from lower bound of the range, exclusive
	 * @param to its upper bound, inclusive
	 * @return the mean; negative infinity if too few runs are known
	 */
	double logThroughput(double from, double to) {
		double sum = 0;
		int count = 0;
		for (RunSample sample : this.samples) {
			if (sample.load() > from && sample.load() <= to) {
				sum += sample.logLoad() - sample.logMillis();
				count++;
			}
		}
		return (count < MIN_RUNS) ? Double.NEGATIVE_INFINITY : sum / count;
	}

	/**
	 * Starts the check of a limit that is about to be lowered.
	 * @param formerLimit the limit before
	 * @param minLoad load of the runs that the next ones are compared with, exclusive
	 * @param since time from which on they ended
	 * @return the check
	 */
	LoweringCheck checkOfLowering(int formerLimit, double minLoad, long since) {
		List<RunSample> before = this.samples.stream()
			.filter((sample) -> sample.endedAt() >= since && sample.load() > minLoad)
			.toList();
		return new LoweringCheck(formerLimit, before);
	}

	/**
	 * Sums over one interval after the other.
	 */
	private static final class Comparison {

		private final int[] runs = new int[2];

		private final double[] loads = new double[2];

		private final double[] millis = new double[2];

		private final double[] squares = new double[2];

		/** Sums of the times at which the runs ended. */
		private final double[] ends = new double[2];

		private double rising;

		private double falling;

		private long block = Long.MIN_VALUE;

		private int blocks;

		private double covariance;

		private double variance;

		private double residual;

		private int degrees;

		private int lowRuns;

		private int highRuns;

		void add(RunSample sample, int range) {
			if (sample.block() != this.block) {
				closeBlock();
				this.block = sample.block();
			}
			this.ends[range] += sample.endedAt();
			this.runs[range]++;
			this.loads[range] += sample.logLoad();
			this.millis[range] += sample.logMillis();
			this.squares[range] += sample.logMillis() * sample.logMillis();
		}

		private void closeBlock() {
			if (this.runs[0] > 0 && this.runs[1] > 0) {
				double weight = (double) this.runs[0] * this.runs[1] / (this.runs[0] + this.runs[1]);
				double loadStep = this.loads[1] / this.runs[1] - this.loads[0] / this.runs[0];
				double timeStep = this.millis[1] / this.runs[1] - this.millis[0] / this.runs[0];
				double gained = loadStep - Math.max(-MAX_DIFFERENCE, Math.min(MAX_DIFFERENCE, timeStep));
				this.covariance += weight * loadStep * gained;
				this.variance += weight * loadStep * loadStep;
				this.blocks++;
				if (this.ends[1] / this.runs[1] > this.ends[0] / this.runs[0]) {
					this.rising += weight;
				}
				else {
					this.falling += weight;
				}
				this.lowRuns += this.runs[0];
				this.highRuns += this.runs[1];
			}
			for (int range = 0; range < 2; range++) {
				if (this.runs[range] > 1) {
					this.residual += this.squares[range] - this.millis[range] * this.millis[range] / this.runs[range];
					this.degrees += this.runs[range] - 1;
				}
			}
			Arrays.fill(this.runs, 0);
			Arrays.fill(this.loads, 0);
			Arrays.fill(this.ends, 0);
			Arrays.fill(this.millis, 0);
			Arrays.fill(this.squares, 0);
		}

		ThroughputGain result() {
			closeBlock();
			if (this.variance <= 0 || this.degrees < MIN_RUNS || this.lowRuns < MIN_RUNS || this.highRuns < MIN_RUNS) {
				return ThroughputGain.unknown();
			}
			double deviation = Math.max(MIN_DEVIATION, Math.sqrt(this.residual / this.degrees));
			return new ThroughputGain(this.covariance / this.variance, deviation / Math.sqrt(this.variance),
					this.blocks, Math.min(this.rising, this.falling) > MIN_SHARE * (this.rising + this.falling));
		}

	}

}
