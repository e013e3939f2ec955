package org.sardineport.daemon.stream;

import java.time.Duration;
import java.time.InstantSource;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;

import com.codahale.metrics.Counter;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.core.stream.LookupOutcome;
import org.sardineport.core.stream.OriginEffects;
import org.sardineport.core.stream.OriginReport;
import org.sardineport.core.stream.StreamKey;
import org.sardineport.core.stream.StreamOrigin;
import org.sardineport.core.stream.StreamOriginMessage;
import org.sardineport.core.stream.StreamRun;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Sends the registry's messages, and counts and logs what it does. Lines are limited to
 * {@link #LINES_IN_AN_INTERVAL} an interval; the counters show all. Counts from any
 * thread; all other methods on the service's thread.
 */
final class OriginReporter implements OriginEffects {

	private static final EventLog LOG = EventLog.of(StreamOriginService.class);

	/** Maximum number of lines in {@link #INTERVAL}. */
	private static final int LINES_IN_AN_INTERVAL = 20;

	private static final Duration INTERVAL = Duration.ofSeconds(1);

	private final PeerTransport transport;

	private final InstantSource clock;

	private final Map<LookupOutcome, Counter> lookups = new EnumMap<>(LookupOutcome.class);

	private final Counter sentReports;

	private final Counter receivedReports;

	private final Counter unconfirmed;

	private final Counter evictions;

	private final Counter ringFull;

	private final Counter notStored;

	private volatile int size;

	private long countedEvictions;

	private long intervalStart;

	private int lines;

	OriginReporter(PeerTransport transport, InstantSource clock, Telemetry telemetry) {
		this.transport = Objects.requireNonNull(transport, "transport must not be null");
		this.clock = clock;
		for (LookupOutcome outcome : LookupOutcome.values()) {
			this.lookups.put(outcome, telemetry.counter("stream-origins.lookups." + outcome.label()));
		}
		this.sentReports = telemetry.counter("stream-origins.reports.sent");
		this.receivedReports = telemetry.counter("stream-origins.reports.received");
		this.unconfirmed = telemetry.counter("stream-origins.unconfirmed");
		this.evictions = telemetry.counter("stream-origins.evictions");
		this.ringFull = telemetry.counter("stream-origins.ring-full");
		this.notStored = telemetry.counter("stream-origins.not-stored");
		telemetry.registry().gauge("stream-origins.entries", () -> () -> this.size);
	}

	@Override
	public void send(NetworkAddress to, StreamOriginMessage message) {
		if (message instanceof OriginReport) {
			this.sentReports.inc();
		}
		this.transport.send(to, message);
	}

	void received(StreamOriginMessage message) {
		if (message instanceof OriginReport) {
			this.receivedReports.inc();
		}
	}

	@Override
	public void lookedUp(StreamKey key, LookupOutcome outcome, long millis) {
		this.lookups.get(outcome).inc();
		if (mayLog()) {
			LOG.info("stream.origin-looked-up", "key", key, "outcome", outcome.label(), "millis", millis);
		}
	}

	/**
	 * Counts and logs a lookup in the store. May be called from any thread.
	 * @param key key of the stream
	 * @param origin what the daemons' memory and the store prove together
	 * @param millis milliseconds that it took
	 */
	void stored(StreamKey key, StreamOrigin origin, long millis) {
		this.lookups.get(origin.version().isPresent() ? LookupOutcome.STORED : LookupOutcome.NOT_STORED).inc();
		LOG.info("stream.origin-looked-up-in-store", "key", key, "origin", origin, "millis", millis);
	}

	void notStored() {
		this.notStored.inc();
	}

	@Override
	public void unconfirmed(StreamRun run, int replies) {
		this.unconfirmed.inc();
		if (mayLog()) {
			LOG.warn("stream.origin-unconfirmed", "key", run.key(), "run", run.number(), "replies", replies);
		}
	}

	void ringFull() {
		this.ringFull.inc();
	}

	void memory(int entries, long evicted) {
		this.size = entries;
		long added = evicted - this.countedEvictions;
		this.countedEvictions = evicted;
		if (added > 0) {
			this.evictions.inc(added);
			LOG.warn("stream.origin-evicted", "records", added, "entries", entries);
		}
	}

	private boolean mayLog() {
		long now = this.clock.millis();
		if (now - this.intervalStart >= INTERVAL.toMillis()) {
			this.intervalStart = now;
			this.lines = 0;
		}
		this.lines++;
		return this.lines <= LINES_IN_AN_INTERVAL;
	}

}
