package org.sardineport.daemon.fleet;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import com.codahale.metrics.Counter;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.port.peer.PeerMessage;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.wire.transport.DropReason;
import org.sardineport.wire.transport.TransportListener;

/**
 * Counts the frames and bytes sent and received between daemons, the messages by their
 * type, and the dropped frames by reason. Also logs the counts of messages now and then,
 * and failures of transport listeners.
 */
public final class TransportCounters implements TransportListener {

	private static final EventLog LOG = EventLog.of(TransportCounters.class);

	/** Number of received messages after which their counts are logged. */
	private static final int MESSAGES_PER_LOG_LINE = 500;

	private final Counter sentFrames;

	private final Counter sentBytes;

	private final Counter receivedFrames;

	private final Counter receivedBytes;

	private final Map<Class<? extends PeerMessage>, Counter> sentByType = new ConcurrentHashMap<>();

	private final Map<Class<? extends PeerMessage>, Counter> receivedByType = new ConcurrentHashMap<>();

	private final Telemetry telemetry;

	private final Map<DropReason, Counter> dropped = new EnumMap<>(DropReason.class);

	private TransportCounters(Telemetry telemetry) {
		this.telemetry = telemetry;
		this.sentFrames = telemetry.counter("peer.sent.frames");
		this.sentBytes = telemetry.counter("peer.sent.bytes");
		this.receivedFrames = telemetry.counter("peer.received.frames");
		this.receivedBytes = telemetry.counter("peer.received.bytes");
		for (DropReason reason : DropReason.values()) {
			this.dropped.put(reason, telemetry.counter("peer.dropped." + reason.label()));
		}
	}

	/**
	 * Registers the counters and returns a listener that updates them.
	 * @param telemetry registry of the counters
	 * @return the listener
	 */
	public static TransportCounters create(Telemetry telemetry) {
		return new TransportCounters(telemetry);
	}

	@Override
	public void sent(PeerMessage message, int bytes) {
		this.sentFrames.inc();
		this.sentByType.computeIfAbsent(message.getClass(), (type) -> counter("peer.sent.", type)).inc();
		this.sentBytes.inc(bytes);
	}

	@Override
	public void received(PeerMessage message, int bytes) {
		this.receivedFrames.inc();
		this.receivedBytes.inc(bytes);
		this.receivedByType.computeIfAbsent(message.getClass(), (type) -> counter("peer.received.", type)).inc();
		if (this.receivedFrames.getCount() % MESSAGES_PER_LOG_LINE == 0) {
			LOG.info("peer.messages", "received", counts(this.receivedByType), "sent", counts(this.sentByType));
		}
	}

	private Counter counter(String prefix, Class<? extends PeerMessage> type) {
		return this.telemetry.counter(prefix + label(type));
	}

	// Without a regular expression, as that would be cold code in each start.
	private static String label(Class<?> type) {
		String name = type.getSimpleName();
		StringBuilder label = new StringBuilder();
		for (int i = 0; i < name.length(); i++) {
			char next = name.charAt(i);
			if (i > 0 && Character.isUpperCase(next)) {
				label.append('-');
			}
			label.append(Character.toLowerCase(next));
		}
		return label.toString();
	}

	private static String counts(Map<Class<? extends PeerMessage>, Counter> counters) {
		return counters.entrySet()
			.stream()
			.map((entry) -> label(entry.getKey()) + ":" + entry.getValue().getCount())
			.sorted()
			.collect(Collectors.joining(","));
	}

	@Override
	public void dropped(DropReason reason) {
		this.dropped.get(reason).inc();
	}

	@Override
	public void listenerFailed(DaemonId sender, RuntimeException cause) {
		LOG.error("peer-transport.listener-failed", cause, "sender", sender);
		dropped(DropReason.LISTENER_FAILED);
	}

}
