package org.sardineport.daemon.http;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.BooleanSupplier;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.configuration.ConfigurationView;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * Keeps requests from running before this daemon has read what they need. Callers may
 * still hold the address of a daemon that starts anew, and other daemons name it as soon
 * as it has a configuration, so requests that come right after the start are worth
 * holding. Safe for use by any thread.
 */
final class StartupGate {

	/** Time after its creation for which a daemon that is not ready holds requests. */
	private static final Duration MAX_WAIT = Duration.ofSeconds(3);

	private final ConfigurationView configuration;

	private final BooleanSupplier backendsListed;

	private final InstantSource clock;

	private final Instant holdUntil;

	StartupGate(ConfigurationView configuration, BooleanSupplier backendsListed, InstantSource clock) {
		this.configuration = configuration;
		this.backendsListed = backendsListed;
		this.clock = clock;
		this.holdUntil = clock.instant().plus(MAX_WAIT);
	}

	/**
	 * Returns why no request can run yet.
	 * @return the refusal, or {@code null} if requests can run
	 */
	@Nullable Refusal refusal() {
		Refusal refusal = configurationRefusal();
		if (refusal == null && !this.backendsListed.getAsBoolean()) {
			return notReady("The daemon has not read the list of backend servers yet.");
		}
		return refusal;
	}

	/**
	 * Returns why requests that need only the configuration cannot be served yet.
	 * @return the refusal, or {@code null} if they can be served
	 */
	@Nullable Refusal configurationRefusal() {
		return this.configuration.isReady() ? null : notReady("The daemon has not read the configuration yet.");
	}

	/**
	 * Returns whether a daemon that is not ready is likely to be ready soon, as it has
	 * just started.
	 * @return whether a request is worth holding
	 */
	boolean isReadySoon() {
		return this.clock.instant().isBefore(this.holdUntil);
	}

	private static Refusal notReady(String detail) {
		return Refusal.of(RefusalReason.NOT_READY, detail);
	}

}
