package org.sardineport.bench.configuration;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.daemon.configuration.ConfigurationService;
import org.sardineport.daemon.platform.HttpLogService;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.settings.ConfigurationSettings;
import org.sardineport.settings.profile.ProfileReader;
import org.sardineport.standins.log.InMemoryLogService;
import org.sardineport.standins.log.LogServiceStandIn;
import org.sardineport.wire.configuration.ConfigurationPeerCodec;
import org.sardineport.wire.transport.NettyPeerTransport;
import org.sardineport.wire.transport.PeerIdentity;
import org.sardineport.wire.transport.TransportListener;

/**
 * Configuration services of several daemons that communicate over real sockets and share
 * a log service.
 */
final class ConfigurationFleet implements AutoCloseable {

	private static final String LOOPBACK = "127.0.0.1";

	private static final int FAILURE_DOMAINS = 3;

	private static final String PEER_KEY = "key-of-the-measurement-0123456789";

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2).setWorkerPoolSize(1));

	private final InMemoryLogService log = InMemoryLogService.create();

	private final List<Service> services = new ArrayList<>();

	private final List<ConfigurationService> configurationServices = new ArrayList<>();

	private final HttpLogService client;

	private ConfigurationFleet(int size) throws IOException {
		LogServiceStandIn standIn = LogServiceStandIn.create(this.vertx, this.log);
		start(standIn);
		this.client = HttpLogService.create(this.vertx, standIn.address(), TIMEOUT);
		List<NetworkAddress> addresses = freeAddresses(size);
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			members.add(new Member(DaemonId.of("daemon-" + i), 1, MemberStatus.ALIVE,
					FailureDomain.of("domain-" + i % FAILURE_DOMAINS), addresses.get(i), addresses.get(i), -1, 0));
		}
		for (Member member : members) {
			startDaemon(member, members, standIn.address());
		}
	}

	static ConfigurationFleet start(int size) throws IOException {
		return new ConfigurationFleet(size);
	}

	List<ConfigurationService> configurationServices() {
		return this.configurationServices;
	}

	InMemoryLogService log() {
		return this.log;
	}

	HttpLogService client() {
		return this.client;
	}

	private void startDaemon(Member self, List<Member> members, NetworkAddress logAddress) {
		SteadyInstantSource clock = SteadyInstantSource.create();
		PeerIdentity identity = new PeerIdentity("bench", self.id(), 1, self.peerAddress(), List.of(PEER_KEY));
		NettyPeerTransport transport = NettyPeerTransport.create(identity, List.of(ConfigurationPeerCodec.create()),
				clock, TransportListener.NONE);
		FleetView view = new FixedFleetView(new FleetSnapshot(self.id(), members, List.of()));
		ConfigurationService configurationService = ConfigurationService.create(ConfigurationSettings.defaults(),
				ProfileReader.create(), HttpLogService.create(this.vertx, logAddress, TIMEOUT), view, transport, clock,
				Telemetry.create());
		start(transport);
		start(configurationService);
		this.configurationServices.add(configurationService);
	}

	private void start(Service service) {
		service.start().toCompletableFuture().join();
		this.services.add(0, service);
	}

	private static List<NetworkAddress> freeAddresses(int count) throws IOException {
		List<DatagramSocket> sockets = new ArrayList<>();
		List<NetworkAddress> addresses = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getByName(LOOPBACK), 0));
			sockets.add(socket);
			addresses.add(NetworkAddress.of(LOOPBACK, socket.getLocalPort()));
		}
		sockets.forEach(DatagramSocket::close);
		return addresses;
	}

	@Override
	public void close() {
		this.services.forEach((service) -> service.stop().toCompletableFuture().join());
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private record FixedFleetView(FleetSnapshot current) implements FleetView {

		@Override
		public void addListener(Consumer<FleetSnapshot> listener) {
		}

	}

}
