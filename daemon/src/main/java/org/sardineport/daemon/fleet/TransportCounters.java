package org.sardineport.daemon.fleet;

import java.util.EnumMap;
import java.util.Map;

import com.codahale.metrics.Counter;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.wire.transport.DropReason;
import org.sardineport.wire.transport.TransportListener;

/**
 * Counts the frames and bytes sent and received between daemons, and the dropped frames
 * by reason. Also logs failures of transport listeners.
 */
public final class TransportCounters implements TransportListener {

	private static final EventLog LOG = EventLog.of(TransportCounters.class);

	private final Counter sentFrames;

	private final Counter sentBytes;

	private final Counter receivedFrames;

	private final Counter receivedBytes;

	private final Map<DropReason, Counter> dropped = new EnumMap<>(DropReason.class);

	private TransportCounters(Telemetry telemetry) {
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
	public void sent(int bytes) {
		this.sentFrames.inc();
		this.sentBytes.inc(bytes);
	}

	@Override
	public void received(int bytes) {
		this.receivedFrames.inc();
		this.receivedBytes.inc(bytes);
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
