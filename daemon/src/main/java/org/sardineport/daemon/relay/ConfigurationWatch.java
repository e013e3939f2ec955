package org.sardineport.daemon.relay;

import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.port.relay.ConfigurationListener;
import org.sardineport.core.relay.ClockReading;
import org.sardineport.core.relay.ConfigurationInForce;
import org.sardineport.core.relay.RelayConfiguration;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Puts each configuration that is read in force, and logs changes, unreadable
 * configurations and loss of contact with the configuration store.
 */
final class ConfigurationWatch implements ConfigurationListener {

	private static final EventLog LOG = EventLog.of(ConfigurationWatch.class);

	private final ConfigurationInForce inForce;

	private final Telemetry telemetry;

	private boolean reachable = true;

	private boolean storeBehind;

	ConfigurationWatch(ConfigurationInForce inForce, Telemetry telemetry) {
		this.inForce = inForce;
		this.telemetry = telemetry;
	}

	@Override
	public void changed(RelayConfiguration configuration, ClockReading readStarted) {
		markReachable();
		RelayConfiguration previous = this.inForce.current();
		boolean accepted = this.inForce.accept(configuration, readStarted);
		watchStore();
		LOG.info(accepted ? "configuration.in-force" : "configuration.older-ignored", "version",
				configuration.version(), "before", previous.version(), "age-ms", this.inForce.readAgeMillis(), "keys",
				configuration.callerKeys().size(), "keys-required", configuration.callerKeys().areRequired());
		if (accepted && previous.callerKeys().areRequired() && !configuration.callerKeys().areRequired()) {
			LOG.warn("configuration.keys-no-longer-required", "version", configuration.version(), "remedy",
					"Write a configuration that lists organisations, also without keys, to refuse callers.");
		}
	}

	@Override
	public void missing() {
		markReachable();
		this.inForce.missing();
		watchStore();
	}

	// While no version was read, the store cannot have lost one.
	private void watchStore() {
		boolean isBehind = this.inForce.isStoreBehind() && !this.inForce.current().isNone();
		if (isBehind && !this.storeBehind) {
			this.telemetry.counter("configuration.store-behind").inc();
			LOG.warn("configuration.store-behind", "version", this.inForce.current().version(), "proof-age-ms",
					this.inForce.readAgeMillis(), "remedy",
					"Write the newest configuration again; until then callers are refused once its proof is too old.");
		}
		else if (!isBehind && this.storeBehind) {
			LOG.info("configuration.store-caught-up", "version", this.inForce.current().version());
		}
		this.storeBehind = isBehind;
	}

	@Override
	public void unchanged(ClockReading readStarted) {
		markReachable();
		this.inForce.confirm(readStarted);
	}

	private void markReachable() {
		if (!this.reachable) {
			this.reachable = true;
			LOG.info("configuration.reached-again", "version", this.inForce.current().version());
		}
	}

	@Override
	public void unreadable(String fault, @Nullable Long version, @Nullable Map<String, String> keys,
			ClockReading readStarted) {
		markReachable();
		int before = this.inForce.current().callerKeys().size();
		this.inForce.supersede(version, keys, readStarted);
		watchStore();
		RelayConfiguration kept = this.inForce.current();
		this.telemetry.counter("configuration.unreadable").inc();
		LOG.warn("configuration.unreadable", "fault", fault, "version-kept", kept.version(), "keys-known", keys != null,
				"keys", kept.callerKeys().size(), "keys-before", before, "remedy",
				"Write a configuration that can be read; until then the one before serves the keys that both have, "
						+ "or none once its last read is too old if the keys cannot be read.");
	}

	@Override
	public void unreachable(String cause) {
		this.telemetry.counter("configuration.unreachable").inc();
		if (this.reachable) {
			this.reachable = false;
			LOG.warn("configuration.unreachable", "cause", cause, "version", this.inForce.current().version(),
					"proof-age-ms", this.inForce.readAgeMillis());
		}
	}

}
