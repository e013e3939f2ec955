package org.sardineport.core.rollout;

import java.time.Duration;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;

/**
 * What the runs of one route showed of one arm of a rollout: the target, or all other
 * versions. Runs that end for reasons of the caller or of the path count for nothing. Not
 * thread-safe.
 */
public final class ArmEvidence {

	/** Fewest tokens of a response from which a time per token is derived. */
	private static final int MIN_TOKENS = 4;

	private int succeeded;

	private int failed;

	private final LatencyHistogram firstData;

	private final LatencyHistogram perToken;

	private ArmEvidence(int succeeded, int failed, LatencyHistogram firstData, LatencyHistogram perToken) {
		this.succeeded = succeeded;
		this.failed = failed;
		this.firstData = Objects.requireNonNull(firstData, "firstData must not be null");
		this.perToken = Objects.requireNonNull(perToken, "perToken must not be null");
	}

	static ArmEvidence create() {
		return of(0, 0, LatencyHistogram.create(), LatencyHistogram.create());
	}

	/**
	 * Returns evidence with the given counts.
	 * @param succeeded runs that did not end with an error, also those that timed out
	 * @param failed runs that ended with an error of the backend server
	 * @param firstData times to the first data
	 * @param perToken times for each further token
	 * @return the evidence
	 * @throws IllegalArgumentException if a count is negative
	 */
	public static ArmEvidence of(int succeeded, int failed, LatencyHistogram firstData, LatencyHistogram perToken) {
		if (succeeded < 0 || failed < 0) {
			throw new IllegalArgumentException(
					"counts must not be negative, found %d and %d".formatted(succeeded, failed));
		}
		return new ArmEvidence(succeeded, failed, firstData, perToken);
	}

	/**
	 * Adds a stream that has begun. It counts as a success at once, as an error is known
	 * at once, too.
	 * @param time time to the first data
	 */
	void addBegun(Duration time) {
		this.succeeded++;
		this.firstData.record(millis(time));
	}

	/**
	 * Adds a run that has ended.
	 * @param measurement how it ended and what was measured; a stream that has begun was
	 * added before
	 * @return whether it counts
	 */
	boolean add(RunMeasurement measurement) {
		switch (measurement.end()) {
			case COMPLETED, TIMED_OUT -> addDurations(measurement);
			case REJECTED -> this.failed++;
			default -> {
				return false;
			}
		}
		return true;
	}

	private void addDurations(RunMeasurement measurement) {
		Duration first = firstData(measurement);
		if (first == null) {
			return;
		}
		if (measurement.answerTokens() == 0) {
			addBegun(first);
		}
		if (measurement.answerTokens() >= MIN_TOKENS) {
			double rest = millis(measurement.duration()) - millis(first);
			this.perToken.record(rest / (measurement.answerTokens() - 1));
		}
	}

	// A run that timed out before its first data counts as one that began that late.
	private static @Nullable Duration firstData(RunMeasurement measurement) {
		Duration first = measurement.timeToFirstToken();
		return (first == null && measurement.end() == RunEnd.TIMED_OUT) ? measurement.duration() : first;
	}

	private static double millis(Duration duration) {
		return duration.toNanos() / 1e6;
	}

	void add(ArmEvidence other) {
		this.succeeded += other.succeeded;
		this.failed += other.failed;
		this.firstData.add(other.firstData);
		this.perToken.add(other.perToken);
	}

	void halve() {
		this.succeeded -= this.succeeded / 2;
		this.failed -= this.failed / 2;
		this.firstData.halve();
		this.perToken.halve();
	}

	ArmEvidence copy() {
		return new ArmEvidence(this.succeeded, this.failed, this.firstData.copy(), this.perToken.copy());
	}

	ArmEvidence since(ArmEvidence earlier) {
		return new ArmEvidence(Math.max(0, this.succeeded - earlier.succeeded),
				Math.max(0, this.failed - earlier.failed), this.firstData.since(earlier.firstData),
				this.perToken.since(earlier.perToken));
	}

	/**
	 * Returns how many runs did not end with an error, also those that timed out.
	 * @return the number
	 */
	public int succeeded() {
		return this.succeeded;
	}

	/**
	 * Returns how many runs ended with an error of the backend server.
	 * @return the number
	 */
	public int failed() {
		return this.failed;
	}

	/**
	 * Returns the times to the first data.
	 * @return the histogram
	 */
	public LatencyHistogram firstData() {
		return this.firstData;
	}

	/**
	 * Returns the times for each further token.
	 * @return the histogram
	 */
	public LatencyHistogram perToken() {
		return this.perToken;
	}

	int total() {
		return this.succeeded + this.failed;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof ArmEvidence that && this.succeeded == that.succeeded && this.failed == that.failed
				&& this.firstData.equals(that.firstData) && this.perToken.equals(that.perToken);
	}

	@Override
	public int hashCode() {
		return 31 * this.succeeded + this.failed;
	}

}
