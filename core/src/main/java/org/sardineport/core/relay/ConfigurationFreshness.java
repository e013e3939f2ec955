package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * Evidence that a configuration was the newest one when a read of it started. Its age is
 * measured from the start of that read, by whichever clock shows the longer time. It
 * becomes invalid once the two clocks disagree, because the VM was suspended or its time
 * of day was changed. Immutable.
 */
final class ConfigurationFreshness {

	private final ClockReading readStarted;

	private ConfigurationFreshness(ClockReading readStarted) {
		this.readStarted = Objects.requireNonNull(readStarted, "readStarted must not be null");
	}

	static ConfigurationFreshness asOf(ClockReading readStarted) {
		return new ConfigurationFreshness(readStarted);
	}

	boolean isValidAt(ClockReading now, Duration lifetime) {
		boolean withinLifetime = now.steadySince(this.readStarted).compareTo(lifetime) < 0
				&& now.timeOfDaySince(this.readStarted).compareTo(lifetime) < 0;
		return withinLifetime && !now.disagreesWith(this.readStarted);
	}

	boolean isOlderThan(ConfigurationFreshness other) {
		return other.isNewerThan(this.readStarted);
	}

	boolean isNewerThan(ClockReading reading) {
		return this.readStarted.steady().compareTo(reading.steady()) > 0;
	}

	long ageMillis(ClockReading now) {
		return Math.max(now.steadySince(this.readStarted).toMillis(), now.timeOfDaySince(this.readStarted).toMillis());
	}

}
