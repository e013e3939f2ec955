package org.sardineport.daemon.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.sardineport.core.quarantine.QuarantineEffects;
import org.sardineport.core.quarantine.QuarantineEvent;
import org.sardineport.core.quarantine.QuarantineEventKind;
import org.sardineport.core.quarantine.Strike;
import org.sardineport.core.quarantine.StrikeChannel;
import org.sardineport.core.quarantine.StrikeKey;
import org.sardineport.core.quarantine.Suspect;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Counts and logs the events of the quarantine, and passes strikes to the channels to
 * other daemons. Safe for use by any thread.
 */
final class QuarantineReporter implements QuarantineEffects {

	private static final EventLog LOG = EventLog.of(QuarantineReporter.class);

	private final Telemetry telemetry;

	private final List<StrikeChannel> channels = new CopyOnWriteArrayList<>();

	private final Set<Suspect> struck = ConcurrentHashMap.newKeySet();

	private QuarantineReporter(Telemetry telemetry) {
		this.telemetry = Objects.requireNonNull(telemetry, "telemetry must not be null");
		for (QuarantineEventKind kind : QuarantineEventKind.values()) {
			telemetry.counter(metric(kind));
		}
	}

	/**
	 * Returns a reporter whose counters are registered.
	 * @param telemetry holds the counters
	 * @return the reporter
	 */
	static QuarantineReporter create(Telemetry telemetry) {
		return new QuarantineReporter(telemetry);
	}

	void addChannel(StrikeChannel channel) {
		this.channels.add(Objects.requireNonNull(channel, "channel must not be null"));
	}

	/**
	 * Returns whether there are strikes against a suspect, as of the last event.
	 * @param suspect the suspect
	 * @return whether its success needs to be recorded
	 */
	boolean isStruck(Suspect suspect) {
		return this.struck.contains(suspect);
	}

	@Override
	public void share(Strike strike) {
		this.channels.forEach((channel) -> channel.share(strike));
	}

	@Override
	public void withdraw(Collection<StrikeKey> strikes) {
		this.channels.forEach((channel) -> channel.withdraw(strikes));
	}

	@Override
	public void onQuarantineEvent(QuarantineEvent event) {
		if (event.strikes() > 0) {
			this.struck.add(event.suspect());
		}
		else {
			this.struck.remove(event.suspect());
		}
		this.telemetry.counter(metric(event.kind())).inc();
		LOG.info("quarantine." + event.kind().label(), "suspect", event.suspect().kind().label(), "fingerprint",
				event.suspect().fingerprint(), "backend-server",
				(event.backendServer() != null) ? event.backendServer() : "-", "strikes", event.strikes());
	}

	private static String metric(QuarantineEventKind kind) {
		return "quarantine." + kind.label();
	}

}
