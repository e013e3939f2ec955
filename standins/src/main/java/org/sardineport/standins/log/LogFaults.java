package org.sardineport.standins.log;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Switches for the faults of the log service. All are off at first. Safe for use by any
 * thread.
 */
public final class LogFaults {

	private final Deque<AppendFault> nextAppends = new ArrayDeque<>();

	private boolean outage;

	private Duration roundTrip = Duration.ZERO;

	private Duration readLag = Duration.ZERO;

	private int offsetStep = 1;

	private boolean duplicates;

	private @Nullable Duration retention;

	private int appendsPerSecond = Integer.MAX_VALUE;

	private LogFaults() {
	}

	static LogFaults create() {
		return new LogFaults();
	}

	/**
	 * Sets what goes wrong with the appends to come, one fault each.
	 * @param faults the faults in order
	 */
	public synchronized void failNextAppends(AppendFault... faults) {
		this.nextAppends.addAll(List.of(faults));
	}

	/**
	 * Switches an outage on or off: all calls are refused.
	 * @param active whether the service is down
	 */
	public synchronized void outage(boolean active) {
		this.outage = active;
	}

	/**
	 * Makes the service slow.
	 * @param duration time from a call to its answer; records are taken halfway
	 */
	public synchronized void roundTrip(Duration duration) {
		this.roundTrip = duration;
	}

	/**
	 * Makes reads lag behind appends.
	 * @param lag time until a record taken can be read
	 */
	public synchronized void readLag(Duration lag) {
		this.readLag = lag;
	}

	/**
	 * Leaves gaps between offsets.
	 * @param step distance between two offsets, 1 for no gaps
	 */
	public synchronized void offsetStep(int step) {
		if (step < 1) {
			throw new IllegalArgumentException("step must be at least 1, found " + step);
		}
		this.offsetStep = step;
	}

	/**
	 * Delivers the record before the one asked for once more with each read.
	 * @param active whether records are delivered twice
	 */
	public synchronized void duplicates(boolean active) {
		this.duplicates = active;
	}

	/**
	 * Limits how long records are kept.
	 * @param duration the time, or {@code null} to keep them
	 */
	public synchronized void retention(@Nullable Duration duration) {
		this.retention = duration;
	}

	/**
	 * Limits the appends taken in a second; more are refused.
	 * @param limit the limit
	 */
	public synchronized void appendsPerSecond(int limit) {
		this.appendsPerSecond = limit;
	}

	synchronized @Nullable AppendFault pollAppendFault() {
		return this.nextAppends.poll();
	}

	synchronized boolean isDown() {
		return this.outage;
	}

	synchronized Duration roundTrip() {
		return this.roundTrip;
	}

	synchronized Duration readLag() {
		return this.readLag;
	}

	synchronized int offsetStep() {
		return this.offsetStep;
	}

	synchronized boolean hasDuplicates() {
		return this.duplicates;
	}

	synchronized @Nullable Duration retention() {
		return this.retention;
	}

	synchronized int appendsPerSecond() {
		return this.appendsPerSecond;
	}

}
