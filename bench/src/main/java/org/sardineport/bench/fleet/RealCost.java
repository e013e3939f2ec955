package org.sardineport.bench.fleet;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.daemon.fleet.FleetService;
import org.sardineport.daemon.fleet.TransportCounters;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.settings.CallerSettings;
import org.sardineport.settings.ConfigurationSettings;
import org.sardineport.settings.DaemonSettings;
import org.sardineport.settings.JournalSettings;
import org.sardineport.settings.MembershipSettings;
import org.sardineport.settings.PlatformSettings;
import org.sardineport.settings.SchedulingSettings;
import org.sardineport.settings.StopSettings;
import org.sardineport.standins.http.FreeAddress;
import org.sardineport.wire.transport.MembershipCodec;
import org.sardineport.wire.transport.NettyPeerTransport;
import org.sardineport.wire.transport.PeerIdentity;

/**
 * Cost of the membership protocol for one daemon over real sockets, with all daemons in
 * this process.
 *
 * @param bytesPerSecond bytes sent per second, including headers of UDP and IP
 * @param coreShare CPU time of the daemon's two threads, as a share of one core
 */
record RealCost(double bytesPerSecond, double coreShare) {

	private static final List<String> KEYS = List.of("key-of-the-measurement-0123456789");

	/** Headers of UDP and IPv4. */
	private static final int DATAGRAM_HEADER_BYTES = 8 + 20;

	private static final Duration SETTLING = Duration.ofSeconds(10);

	private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(60);

	static RealCost measure(int members, List<String> domains, Duration measured) {
		List<NetworkAddress> addresses = Stream.generate(FreeAddress::find).limit(members).toList();
		List<Telemetry> telemetries = new ArrayList<>();
		List<NettyPeerTransport> transports = new ArrayList<>();
		List<FleetService> services = new ArrayList<>();
		for (int i = 0; i < members; i++) {
			start(i, addresses, domains, telemetries, transports, services);
		}
		awaitAll(services, members);
		LockSupport.parkNanos(SETTLING.toNanos());
		long bytes = bytes(telemetries);
		long cpu = cpuNanos();
		LockSupport.parkNanos(measured.toNanos());
		double seconds = measured.toMillis() / 1000.0;
		RealCost cost = new RealCost((bytes(telemetries) - bytes) / seconds / members,
				(cpuNanos() - cpu) / 1e9 / seconds / members);
		services.forEach((service) -> service.stop().toCompletableFuture().join());
		transports.forEach((transport) -> transport.stop().toCompletableFuture().join());
		return cost;
	}

	private static void start(int number, List<NetworkAddress> addresses, List<String> domains,
			List<Telemetry> telemetries, List<NettyPeerTransport> transports, List<FleetService> services) {
		SteadyInstantSource clock = SteadyInstantSource.create();
		NetworkAddress address = addresses.get(number);
		DaemonId id = DaemonId.of("daemon-" + number);
		long incarnation = clock.millis();
		Telemetry telemetry = Telemetry.create();
		NettyPeerTransport transport = NettyPeerTransport.create(
				new PeerIdentity("bench", id, incarnation, address, KEYS), List.of(MembershipCodec.create()), clock,
				TransportCounters.create(telemetry));
		DaemonSettings settings = new DaemonSettings("bench", id,
				FailureDomain.of(domains.get(number % domains.size())), address, address, address,
				List.of(addresses.get(0), addresses.get(1)), KEYS, "",
				new PlatformSettings(address, address, Duration.ofSeconds(1)), CallerSettings.defaults(),
				SchedulingSettings.defaults(), JournalSettings.defaults(), MembershipSettings.defaults(),
				ConfigurationSettings.defaults(), StopSettings.defaults());
		VmListing emptyListing = new VmListing(Instant.EPOCH, List.of(), List.of());
		FleetService service = FleetService.create(settings, incarnation, transport,
				() -> CompletableFuture.completedFuture(emptyListing), clock, telemetry);
		transport.start().toCompletableFuture().join();
		service.start().toCompletableFuture().join();
		telemetries.add(telemetry);
		transports.add(transport);
		services.add(service);
	}

	private static void awaitAll(List<FleetService> services, int members) {
		Polling.awaitCondition(() -> services.stream().allMatch((service) -> alive(service) >= members),
				Duration.ofMillis(50), JOIN_TIMEOUT, "not all daemons joined");
	}

	private static long alive(FleetService service) {
		return service.current().members().stream().filter((member) -> member.status() == MemberStatus.ALIVE).count();
	}

	private static long bytes(List<Telemetry> telemetries) {
		return telemetries.stream()
			.mapToLong((telemetry) -> telemetry.counter("peer.sent.bytes").getCount()
					+ DATAGRAM_HEADER_BYTES * telemetry.counter("peer.sent.frames").getCount())
			.sum();
	}

	private static long cpuNanos() {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long nanos = 0;
		for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
			if (thread != null && (thread.getThreadName().equals("membership")
					|| thread.getThreadName().startsWith("peer-transport"))) {
				nanos += threads.getThreadCpuTime(thread.getThreadId());
			}
		}
		return nanos;
	}

}
