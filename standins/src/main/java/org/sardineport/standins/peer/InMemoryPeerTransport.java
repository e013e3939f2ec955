package org.sardineport.standins.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.peer.PeerListener;
import org.sardineport.core.port.peer.PeerMessage;
import org.sardineport.core.port.peer.PeerTransport;

/**
 * Transport of one daemon on an {@link InMemoryPeerNetwork}. Drops messages while it is
 * not started. Thread-safe; listeners are called on the thread that delivers the message.
 */
public final class InMemoryPeerTransport implements PeerTransport {

	private static final Logger LOG = System.getLogger(InMemoryPeerTransport.class.getName());

	private final InMemoryPeerNetwork network;

	private final DaemonId daemon;

	private final long incarnation;

	private final NetworkAddress address;

	private final List<Subscription> subscriptions = new CopyOnWriteArrayList<>();

	private volatile boolean started;

	InMemoryPeerTransport(InMemoryPeerNetwork network, DaemonId daemon, long incarnation, NetworkAddress address) {
		this.network = network;
		this.daemon = Objects.requireNonNull(daemon, "daemon must not be null");
		this.incarnation = incarnation;
		this.address = Objects.requireNonNull(address, "address must not be null");
	}

	NetworkAddress address() {
		return this.address;
	}

	@Override
	public void listen(Class<? extends PeerMessage> type, PeerListener listener) {
		this.subscriptions.add(new Subscription(type, listener));
	}

	@Override
	public void send(NetworkAddress to, PeerMessage message) {
		Objects.requireNonNull(to, "to must not be null");
		Objects.requireNonNull(message, "message must not be null");
		if (this.started) {
			this.network.send(this, to, message);
		}
	}

	@Override
	public CompletionStage<Void> start() {
		this.started = true;
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletionStage<Void> stop() {
		this.started = false;
		return CompletableFuture.completedFuture(null);
	}

	void receive(InMemoryPeerTransport from, PeerMessage message) {
		if (!this.started) {
			return;
		}
		for (Subscription subscription : this.subscriptions) {
			if (subscription.type().isInstance(message)) {
				notifyListener(from, message, subscription.listener());
			}
		}
	}

	private static void notifyListener(InMemoryPeerTransport from, PeerMessage message, PeerListener listener) {
		try {
			listener.received(from.daemon, from.incarnation, from.address, message);
		}
		catch (RuntimeException ex) {
			LOG.log(Level.WARNING, "peer message listener failed", ex);
		}
	}

	/**
	 * Listener with the type of its messages.
	 *
	 * @param type type of the messages that the listener receives
	 * @param listener receives the messages
	 */
	private record Subscription(Class<? extends PeerMessage> type, PeerListener listener) {

	}

}
