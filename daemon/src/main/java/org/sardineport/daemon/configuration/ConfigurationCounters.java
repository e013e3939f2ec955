package org.sardineport.daemon.configuration;

import java.util.Locale;

import com.codahale.metrics.Counter;
import org.sardineport.core.configuration.VerdictKind;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Counters of the configuration service. All are registered at zero on creation.
 */
final class ConfigurationCounters {

	private final Telemetry telemetry;

	private final Counter ringFull;

	private final Counter imageFaulty;

	private final Counter caughtUpFromPeer;

	private ConfigurationCounters(Telemetry telemetry) {
		this.telemetry = telemetry;
		this.ringFull = telemetry.counter("configuration.dropped.ring-full");
		this.imageFaulty = telemetry.counter("configuration.image-faulty");
		this.caughtUpFromPeer = telemetry.counter("configuration.caught-up-from-peer");
		for (VerdictKind kind : VerdictKind.values()) {
			verdict(kind);
		}
		for (LogFailure failure : LogFailure.values()) {
			failure(failure);
		}
	}

	static ConfigurationCounters create(Telemetry telemetry) {
		return new ConfigurationCounters(telemetry);
	}

	void verdictReported(VerdictKind kind) {
		verdict(kind).inc();
	}

	void readFailed(LogFailure failure) {
		failure(failure).inc();
	}

	void ringFull() {
		this.ringFull.inc();
	}

	void imageFaulty() {
		this.imageFaulty.inc();
	}

	void caughtUpFromPeer() {
		this.caughtUpFromPeer.inc();
	}

	private Counter verdict(VerdictKind kind) {
		return this.telemetry.counter("configuration.verdicts." + kind.label());
	}

	private Counter failure(LogFailure failure) {
		return this.telemetry
			.counter("configuration.read-failed." + failure.name().toLowerCase(Locale.ROOT).replace('_', '-'));
	}

}
