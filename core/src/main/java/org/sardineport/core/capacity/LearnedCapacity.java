package org.sardineport.core.capacity;

import java.util.Objects;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * Learns beyond which concurrency a backend server gains no throughput, and limits the
 * concurrency there. The limit is the nominal concurrency until runs at a higher load are
 * shown to gain nothing over runs at a lower one in the same short intervals. A lower
 * limit is tested by short trials of a higher one, and is raised if these gain throughput
 * or stay undecided. Times are in milliseconds of one clock. Not thread-safe.
 */
public final class LearnedCapacity {

	/** Gain of throughput below which more load is of no use. */
	private static final double NO_GAIN = 0.15;

	/** Gain of throughput above which a lower limit is wrong. */
	private static final double GAIN = 0.5;

	/** Share of a limit above which it counts as in use. */
	private static final double IN_USE = 0.8;

	/** Number of candidates for a lower limit. */
	private static final int CANDIDATES = 16;

	/** Lower end of the load that counts as that of a limit, as a share of the limit. */
	private static final double RANGE = 0.65;

	/**
	 * Lower end of the load whose throughput is compared with that of other limits, as a
	 * share of the limit.
	 */
	private static final double ABOVE_LOW = 0.85;

	/**
	 * Difference of the logarithms of two throughputs below which the higher limit is
	 * chosen.
	 */
	private static final double TIE = 0.12;

	/** Factor on a limit up to which load counts as within it. */
	private static final double MARGIN = 1.02;

	/** Factor on a limit above which load is compared with that of the limit. */
	private static final double ABOVE = 1.08;

	/** Factor by which a trial raises the limit. */
	private static final double RAISE = 1.25;

	/** The same factor for every second trial, which shows a gain sooner. */
	private static final double FAR_RAISE = 1.6;

	/** Factor by which a trial lowers a limit that is in use all the time. */
	private static final double DIP = 0.5;

	/** The same factor for a limit that was lowered before. */
	private static final double SMALL_DIP = 0.7;

	/** Minimum length of a trial, in milliseconds. */
	private static final long MIN_TRIAL_MILLIS = 250;

	/** Length of a trial as a multiple of the mean duration of a run. */
	private static final double TRIAL_RUNS = 2;

	/** Maximum time between two trials of a limit, in milliseconds. */
	private static final long MAX_TRIAL_INTERVAL_MILLIS = 16_000;

	/** Number of trials after which an undecided limit is raised. */
	private static final int UNDECIDED_TRIALS = 9;

	/** Number of dips after which they become rarer. */
	private static final int DIPS = 5;

	/** Time between two evaluations, in milliseconds. */
	private static final long EVALUATION_MILLIS = 200;

	/**
	 * Initial time without another lower limit after one was refuted, in milliseconds.
	 */
	private static final long INITIAL_REFUTED_MILLIS = 4000;

	/** Maximum of that time, which doubles each time. */
	private static final long MAX_REFUTED_MILLIS = 60_000;

	/** Weight of a new run in the mean duration. */
	private static final double DURATION_WEIGHT = 0.05;

	/** Weight of a new run in the mean time of a unit of work at a range of load. */
	private static final double RANGE_WEIGHT = 0.02;

	/** Number of ranges of load whose times are kept. */
	private static final int RANGES = 4;

	/** Number of runs after which the time at a range of load is known. */
	private static final int MIN_RANGE_RUNS = 20;

	/** Excess over the time at low load that makes a dip worthwhile. */
	private static final double SUSPICIOUS_EXCESS = Math.log(1.4);

	/** The same as a number of standard errors. */
	private static final double SUSPICIOUS_ERRORS = 4;

	private final int nominal;

	private final LoadCurve curve = new LoadCurve();

	private int limit;

	private int trialLimit;

	private long trialEndsAt;

	private long nextTrialAt;

	private long trialInterval;

	private int trials;

	private int upTrials;

	private long limitSince;

	private long mayLowerAt;

	private long refutedMillis = INITIAL_REFUTED_MILLIS;

	private long evaluatedAt;

	private long fullSince = Long.MAX_VALUE;

	private double meanMillis;

	/** Mean logarithm of the time of a unit of work, by range of load. */
	private final double[] rangeLogs = new double[RANGES];

	private final int[] rangeRuns = new int[RANGES];

	private double recentLog = Double.NaN;

	private double recentVariance;

	private long block;

	private long blockEndsAt;

	private @Nullable LoweringCheck lowering;

	private ThroughputGain gain = ThroughputGain.unknown();

	private LearnedCapacity(int nominal) {
		this.nominal = nominal;
		this.limit = nominal;
		this.trialLimit = nominal;
	}

	/**
	 * Returns a capacity that is the nominal concurrency until runs are observed.
	 * @param nominal concurrent requests that the backend server is configured for, at
	 * least 1
	 * @return the capacity
	 */
	public static LearnedCapacity of(int nominal) {
		if (nominal < 1) {
			throw new IllegalArgumentException("nominal must be at least 1, found " + nominal);
		}
		return new LearnedCapacity(nominal);
	}

	/**
	 * Returns the limit in force, which differs from the learned one during a trial.
	 * @return concurrent requests, from 1 to the nominal concurrency
	 */
	public int limit() {
		return this.trialLimit;
	}

	/**
	 * Returns the learned limit.
	 * @return concurrent requests, from 1 to the nominal concurrency
	 */
	public int learned() {
		return this.limit;
	}

	/**
	 * Observes a finished run.
	 * @param meanLoad mean number of concurrent requests during the run, with this one
	 * @param millisPerWork time for a unit of work, such as a token of the answer, or the
	 * duration of the run if its work is not known
	 * @param durationMillis duration of the run
	 * @param now the current time
	 */
	public void observe(double meanLoad, double millisPerWork, double durationMillis, long now) {
		this.meanMillis = (this.meanMillis == 0) ? durationMillis
				: this.meanMillis + DURATION_WEIGHT * (durationMillis - this.meanMillis);
		if (now >= this.blockEndsAt) {
			this.block++;
			this.blockEndsAt = now + blockMillis();
		}
		this.curve.add(this.block, now - (long) durationMillis, now, meanLoad, millisPerWork);
		if (this.lowering != null && now - durationMillis >= this.limitSince) {
			this.lowering.add(meanLoad, millisPerWork);
		}
		double log = Math.log(Math.max(1e-3, millisPerWork));
		double difference = log - ((Double.isNaN(this.recentLog)) ? log : this.recentLog);
		this.recentVariance += DURATION_WEIGHT * (difference * difference - this.recentVariance);
		this.recentLog = average(this.recentLog, log, DURATION_WEIGHT);
		int range = Math.min(RANGES - 1, (int) (RANGES * meanLoad / (this.nominal + 1)));
		this.rangeRuns[range]++;
		this.rangeLogs[range] += Math.max(RANGE_WEIGHT, 1.0 / this.rangeRuns[range]) * (log - this.rangeLogs[range]);
	}

	private static double average(double mean, double value, double weight) {
		return (Double.isNaN(mean)) ? value : mean + weight * (value - mean);
	}

	private long trialMillis() {
		return Math.max(MIN_TRIAL_MILLIS, (long) (TRIAL_RUNS * this.meanMillis));
	}

	private long blockMillis() {
		return 2 * trialMillis();
	}

	/**
	 * Updates the limit. Called when runs start and end, and periodically.
	 * @param running number of concurrent requests
	 * @param now the current time
	 * @return the change of the learned limit, if it changed
	 */
	public Optional<CapacityChange> update(int running, long now) {
		boolean full = running >= this.trialLimit;
		this.fullSince = (full) ? Math.min(this.fullSince, now)
				: (running < IN_USE * this.trialLimit) ? Long.MAX_VALUE : this.fullSince;
		runTrials(now);
		if (now - this.evaluatedAt < EVALUATION_MILLIS) {
			return Optional.empty();
		}
		this.evaluatedAt = now;
		CapacityChange change = (isRefuted()) ? refute(now) : raise(now);
		return Optional.ofNullable((change != null) ? change : lower(now));
	}

	private boolean isTrial() {
		return this.trialLimit != this.limit;
	}

	private void runTrials(long now) {
		if (isTrial()) {
			if (now >= this.trialEndsAt) {
				this.trialLimit = this.limit;
				this.fullSince = Long.MAX_VALUE;
			}
			return;
		}
		boolean inUse = this.fullSince <= now - trialMillis();
		if (!inUse || now < this.nextTrialAt) {
			return;
		}
		if (this.limit < this.nominal && isUpTrialNext()) {
			this.upTrials++;
			startTrial(raisedLimit((this.upTrials % 2 == 1) ? RAISE : FAR_RAISE), now);
		}
		else if (this.limit < this.nominal || isSlowerThanBefore()) {
			double factor = (this.limit < this.nominal) ? SMALL_DIP : DIP;
			startTrial(Math.max(1, (int) (factor * this.limit)), now);
		}
	}

	private boolean isSlowerThanBefore() {
		double fastest = Double.POSITIVE_INFINITY;
		for (int range = 0; range < RANGES - 1; range++) {
			if (this.rangeRuns[range] >= MIN_RANGE_RUNS) {
				fastest = Math.min(fastest, this.rangeLogs[range]);
			}
		}
		return (fastest == Double.POSITIVE_INFINITY) ? this.trials < DIPS
				: this.recentLog - fastest > Math.max(SUSPICIOUS_EXCESS, SUSPICIOUS_ERRORS * recentError());
	}

	// The standard error of two moving averages.
	private double recentError() {
		return Math.sqrt(this.recentVariance * (DURATION_WEIGHT + RANGE_WEIGHT) / 2);
	}

	private boolean isUpTrialNext() {
		return this.trials % 3 == 2 || (this.trials > 2 * DIPS && !isSlowerThanBefore());
	}

	private void startTrial(int concurrency, long now) {
		this.trialLimit = concurrency;
		this.trialEndsAt = now + trialMillis();
		this.trials++;
		boolean settled = (this.limit == this.nominal) ? this.trials > DIPS
				: this.trials > UNDECIDED_TRIALS && this.gain.isBelow(GAIN);
		this.trialInterval = (settled) ? Math.min(MAX_TRIAL_INTERVAL_MILLIS, 2 * this.trialInterval) : blockMillis();
		this.nextTrialAt = now + this.trialInterval;
	}

	private boolean isRefuted() {
		return this.lowering != null && this.lowering.isRefuted(GAIN);
	}

	private CapacityChange refute(long now) {
		LoweringCheck refuted = Objects.requireNonNull(this.lowering);
		return raiseTo(refuted.formerLimit(), CapacityReason.REFUTED, now);
	}

	private @Nullable CapacityChange raise(long now) {
		if (this.limit == this.nominal) {
			return null;
		}
		int near = raisedLimit(RAISE);
		int far = raisedLimit(FAR_RAISE);
		this.gain = gainUpTo(ABOVE * this.limit, near);
		if (gainUpTo(near, far).isAbove(GAIN)) {
			return raiseTo(far, CapacityReason.GAIN, now);
		}
		if (this.gain.isAbove(GAIN)) {
			return raiseTo(near, CapacityReason.GAIN, now);
		}
		boolean undecided = this.gain.elasticity() > GAIN && this.gain.blocks() > 0;
		if (undecided && this.trials >= UNDECIDED_TRIALS && !isTrial()) {
			return raiseTo(near, CapacityReason.UNDECIDED, now);
		}
		return null;
	}

	private ThroughputGain gainUpTo(double highFrom, double highTo) {
		return this.curve.gain(RANGE * this.limit, MARGIN * this.limit, highFrom, MARGIN * highTo, this.limitSince);
	}

	private int raisedLimit(double factor) {
		return Math.min(this.nominal, Math.max(this.limit + 1, (int) Math.ceil(factor * this.limit)));
	}

	private CapacityChange raiseTo(int raised, CapacityReason reason, long now) {
		this.mayLowerAt = now + this.refutedMillis;
		this.refutedMillis = Math.min(MAX_REFUTED_MILLIS, 2 * this.refutedMillis);
		this.curve.removeBefore(this.limitSince);
		return changeTo(raised, reason, now);
	}

	private @Nullable CapacityChange lower(long now) {
		if (now < this.mayLowerAt) {
			return null;
		}
		int best = this.limit;
		double bestThroughput = Double.NEGATIVE_INFINITY;
		for (int candidate = 1; candidate < CANDIDATES; candidate++) {
			int knee = Math.max(1, (int) Math.round((double) this.nominal * candidate / CANDIDATES));
			double throughput = this.curve.logThroughput(ABOVE_LOW * knee, MARGIN * knee);
			if (knee < this.limit && throughput > bestThroughput - TIE && isKnee(knee)) {
				best = knee;
				bestThroughput = Math.max(bestThroughput, throughput);
			}
		}
		return (best < this.limit) ? lowerTo(best, now) : null;
	}

	private CapacityChange lowerTo(int knee, long now) {
		LoweringCheck check = this.curve.checkOfLowering(this.limit, ABOVE * knee, now - 2 * blockMillis());
		CapacityChange change = changeTo(knee, CapacityReason.KNEE, now);
		this.lowering = check;
		return change;
	}

	// Only loads within the limit count, as a higher one may be past a steep fall.
	private boolean isKnee(int knee) {
		return this.curve.gain(RANGE * knee, MARGIN * knee, ABOVE * knee, MARGIN * this.limit, 0).isBelow(NO_GAIN);
	}

	private CapacityChange changeTo(int concurrency, CapacityReason reason, long now) {
		Objects.requireNonNull(reason, "reason must not be null");
		CapacityChange change = new CapacityChange(this.limit, concurrency, reason);
		this.limit = concurrency;
		this.trialLimit = concurrency;
		this.limitSince = now;
		this.trials = 0;
		this.upTrials = 0;
		this.gain = ThroughputGain.unknown();
		this.lowering = null;
		this.nextTrialAt = now + trialMillis();
		this.fullSince = Long.MAX_VALUE;
		return change;
	}

}
