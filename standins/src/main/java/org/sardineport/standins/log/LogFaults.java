package org.sardineport.standins.log;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Fault injection for the fake log service. All faults are off at first. Thread-safe; a
 * change applies to the calls that follow it.
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
	 * Queues faults for the next appends, one fault each.
	 * @param faults the faults in the order of the appends
	 */
	public synchronized void failNextAppends(AppendFault... faults) {
		this.nextAppends.addAll(List.of(faults));
	}

	/**
	 * Starts or ends an outage, during which all calls are rejected.
	 * @param active whether the service is unavailable
	 */
	public synchronized void outage(boolean active) {
		this.outage = active;
	}

	/**
	 * Sets the round-trip time.
	 * @param duration time from a call to its response; a record is appended halfway
	 */
	public synchronized void roundTrip(Duration duration) {
		this.roundTrip = duration;
	}

	/**
	 * Sets how far reads lag behind appends.
	 * @param lag time until an appended record can be read
	 */
	public synchronized void readLag(Duration lag) {
		this.readLag = lag;
	}

	/**
	 * Sets the distance between the offsets of consecutive records.
	 * @param step the distance, 1 for no gaps
	 * @throws IllegalArgumentException if the distance is less than 1
	 */
	public synchronized void offsetStep(int step) {
		if (step < 1) {
			throw new IllegalArgumentException("step must be at least 1, found " + step);
		}
		this.offsetStep = step;
	}

	/**
	 * Sets whether each read that finds records also delivers the one before them again.
	 * @param active whether records are delivered twice
	 */
	public synchronized void duplicates(boolean active) {
		this.duplicates = active;
	}

	/**
	 * Sets the retention time of records.
	 * @param duration the time, or {@code null} to retain them for ever
	 */
	public synchronized void retention(@Nullable Duration duration) {
		this.retention = duration;
	}

	/**
	 * Limits the rate of appends over all streams. Appends above the limit are rejected.
	 * @param limit greatest number of appends per second
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
