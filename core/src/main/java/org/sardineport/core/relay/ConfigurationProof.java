package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * Evidence that a configuration was the newest one when a read of it began. Its age
 * counts from the start of that read, by whichever clock says more; it is void once the
 * two clocks disagree, as the VM was suspended or its time of day was set. Immutable.
 */
final class ConfigurationProof {

	/** Most by which the two clocks may differ over the life of a proof. */
	private static final Duration TOLERANCE = Duration.ofMillis(200);

	private final ClockReading readStarted;

	private ConfigurationProof(ClockReading readStarted) {
		this.readStarted = Objects.requireNonNull(readStarted, "readStarted must not be null");
	}

	static ConfigurationProof since(ClockReading readStarted) {
		return new ConfigurationProof(readStarted);
	}

	boolean holds(ClockReading now, Duration lifetime) {
		Duration steady = now.steadySince(this.readStarted);
		Duration timeOfDay = now.timeOfDaySince(this.readStarted);
		return !isInDoubt(now) && steady.compareTo(lifetime) < 0 && timeOfDay.compareTo(lifetime) < 0;
	}

	/**
	 * Returns whether the clocks disagree about the time since the read.
	 * @param now both clocks
	 * @return whether the VM was suspended or its time of day was set
	 */
	boolean isInDoubt(ClockReading now) {
		Duration steady = now.steadySince(this.readStarted);
		return now.timeOfDaySince(this.readStarted).minus(steady).abs().compareTo(TOLERANCE) > 0;
	}

	boolean isOlderThan(ConfigurationProof other) {
		return this.readStarted.steady().compareTo(other.readStarted.steady()) < 0;
	}

	long ageMillis(ClockReading now) {
		return Math.max(now.steadySince(this.readStarted).toMillis(), now.timeOfDaySince(this.readStarted).toMillis());
	}

}
