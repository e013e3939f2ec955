package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * Evidence that a configuration was the newest one when a read of it began. Its age
 * counts from the start of that read, by whichever clock says more; it is void once the
 * two clocks disagree, as the VM was suspended or its time of day was set. Immutable.
 */
final class ConfigurationProof {

	private final ClockReading readStarted;

	private ConfigurationProof(ClockReading readStarted) {
		this.readStarted = Objects.requireNonNull(readStarted, "readStarted must not be null");
	}

	static ConfigurationProof since(ClockReading readStarted) {
		return new ConfigurationProof(readStarted);
	}

	boolean holds(ClockReading now, Duration lifetime) {
		boolean young = now.steadySince(this.readStarted).compareTo(lifetime) < 0
				&& now.timeOfDaySince(this.readStarted).compareTo(lifetime) < 0;
		return young && !now.isApartFrom(this.readStarted);
	}

	boolean isOlderThan(ConfigurationProof other) {
		return other.isNewerThan(this.readStarted);
	}

	boolean isNewerThan(ClockReading reading) {
		return this.readStarted.steady().compareTo(reading.steady()) > 0;
	}

	long ageMillis(ClockReading now) {
		return Math.max(now.steadySince(this.readStarted).toMillis(), now.timeOfDaySince(this.readStarted).toMillis());
	}

}
