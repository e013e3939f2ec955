package org.sardineport.daemon.tunnel;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import io.netty.channel.ChannelOption;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.wire.transport.PeerTokens;

/**
 * Accepts connections of other daemons and carries them to backend servers. Connections
 * to backend servers are direct always, so that none passes two daemons. Confined to the
 * event loop, except where noted.
 */
public final class TunnelServer implements Service {

	private static final EventLog LOG = EventLog.of(TunnelServer.class);

	/** Timeout of the connection to a backend server. */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(200);

	private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(1);

	/** Maximum number of connections, as each takes two descriptors and their buffers. */
	private static final int MAX_CONNECTIONS = 512;

	private final Vertx vertx;

	private final NetworkAddress address;

	private final PeerTokens tokens;

	private final FleetView fleet;

	private final Predicate<BackendServerId> unreachable;

	private final Telemetry telemetry;

	private final NetClient client;

	private final AtomicInteger open = new AtomicInteger();

	private final AtomicInteger carried = new AtomicInteger();

	private @Nullable NetServer server;

	private TunnelServer(Vertx vertx, NetworkAddress address, PeerTokens tokens, FleetView fleet,
			Predicate<BackendServerId> unreachable, Telemetry telemetry) {
		this.vertx = Objects.requireNonNull(vertx, "vertx must not be null");
		this.address = Objects.requireNonNull(address, "address must not be null");
		this.tokens = Objects.requireNonNull(tokens, "tokens must not be null");
		this.fleet = Objects.requireNonNull(fleet, "fleet must not be null");
		this.unreachable = Objects.requireNonNull(unreachable, "unreachable must not be null");
		this.telemetry = Objects.requireNonNull(telemetry, "telemetry must not be null");
		this.client = vertx.createNetClient(
				new NetClientOptions().setTcpNoDelay(true).setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
	}

	/**
	 * Returns a server that is not started yet.
	 * @param vertx performs input and output
	 * @param address peer address of this daemon, on which it listens by TCP
	 * @param tokens accept the other daemons
	 * @param fleet lists the backend servers
	 * @param unreachable tells those to which this daemon has no path itself
	 * @param telemetry counts connections
	 * @return the server
	 */
	public static TunnelServer create(Vertx vertx, NetworkAddress address, PeerTokens tokens, FleetView fleet,
			Predicate<BackendServerId> unreachable, Telemetry telemetry) {
		return new TunnelServer(vertx, address, tokens, fleet, unreachable, telemetry);
	}

	@Override
	public CompletionStage<Void> start() {
		NetServer created = this.vertx
			.createNetServer(
					new NetServerOptions().setHost(this.address.ip()).setPort(this.address.port()).setTcpNoDelay(true))
			.connectHandler(this::accept);
		this.server = created;
		return created.listen().<Void>mapEmpty().toCompletionStage();
	}

	@Override
	public CompletionStage<Void> stop() {
		NetServer started = this.server;
		return (started != null) ? started.close().toCompletionStage() : CompletableFuture.completedStage(null);
	}

	/**
	 * Returns the number of connections that are carried now. Safe for use by any thread.
	 * @return the number
	 */
	public int carried() {
		return this.carried.get();
	}

	private void accept(NetSocket near) {
		if (this.open.incrementAndGet() > MAX_CONNECTIONS) {
			this.open.decrementAndGet();
			this.telemetry.counter("tunnels.refused").inc();
			near.close();
			return;
		}
		new Tunnel(near).begin();
	}

	private Optional<BackendServer> listed(String name) {
		return this.fleet.current()
			.backendServers()
			.stream()
			.filter((listed) -> listed.id().value().equals(name))
			.findFirst();
	}

	// A connection that was reset must not look as if it had ended, because the end of a
	// connection may be the end of a response.
	private static void reset(NetSocket socket) {
		((NetSocketInternal) socket).channelHandlerContext().channel().config().setOption(ChannelOption.SO_LINGER, 0);
		socket.close();
	}

	/**
	 * One connection of another daemon, from its handshake to its end.
	 */
	private final class Tunnel {

		private final NetSocket near;

		private final SocksHandshake handshake;

		private final long timer;

		private @Nullable NetSocket far;

		private String sender = "";

		private boolean closed;

		Tunnel(NetSocket near) {
			this.near = near;
			this.handshake = new SocksHandshake(near, this::authenticate);
			this.timer = TunnelServer.this.vertx.setTimer(HANDSHAKE_TIMEOUT.toMillis(), (id) -> near.close());
		}

		void begin() {
			this.near.exceptionHandler((ignored) -> this.near.close());
			this.near.closeHandler((ignored) -> closed());
			this.handshake.begin(this::connect);
		}

		private boolean authenticate(String name, String password) {
			this.sender = name;
			boolean accepted = TunnelServer.this.tokens.accept(name, password);
			if (!accepted) {
				TunnelServer.this.telemetry.counter("tunnels.unauthenticated").inc();
				LOG.warn("tunnel.unauthenticated", "remote", this.near.remoteAddress());
			}
			return accepted;
		}

		private void connect(String name) {
			TunnelServer.this.vertx.cancelTimer(this.timer);
			Optional<BackendServer> listed = listed(name);
			if (listed.map(BackendServer::id).filter(TunnelServer.this.unreachable).isPresent()) {
				this.handshake.fail();
				return;
			}
			if (listed.isEmpty()) {
				LOG.info("tunnel.backend-unlisted", "backend-server", name, "daemon", this.sender);
				this.handshake.fail();
				return;
			}
			NetworkAddress target = listed.get().address();
			TunnelServer.this.client.connect(target.port(), target.ip())
				.onSuccess(this::carry)
				.onFailure((cause) -> this.handshake.fail());
		}

		private void carry(NetSocket connected) {
			if (this.closed) {
				connected.close();
				return;
			}
			this.far = connected;
			TunnelServer.this.carried.incrementAndGet();
			TunnelServer.this.telemetry.counter("tunnels.carried").inc();
			this.handshake.succeed();
			this.near.exceptionHandler((ignored) -> reset(connected));
			connected.exceptionHandler((ignored) -> reset(this.near));
			this.near.pipeTo(connected);
			connected.pipeTo(this.near);
		}

		private void closed() {
			this.closed = true;
			TunnelServer.this.vertx.cancelTimer(this.timer);
			TunnelServer.this.open.decrementAndGet();
			if (this.far != null) {
				TunnelServer.this.carried.decrementAndGet();
				this.far.close();
			}
		}

	}

}
