package org.sardineport.bench.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.sardineport.core.configuration.ConfigurationDistribution;
import org.sardineport.core.configuration.PeerCatchUp;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.wire.configuration.DeflatedImageCodec;

/**
 * Measures the cost of the periodic check by which a daemon decides whether it reads the
 * configuration from the log, and from which peer it catches up.
 */
final class FleetTickCost {

	/** Rate of the check. */
	static final double TICKS_PER_SECOND = 10;

	private static final int WARM_UP_TICKS = 2000;

	private static final int MEASURED_TICKS = 2000;

	private static final long VERSION = 7;

	private FleetTickCost() {
	}

	/**
	 * Measures the duration of one check.
	 * @param size number of daemons in the fleet
	 * @param domains number of failure domains in the fleet
	 * @return the duration in microseconds
	 */
	static double micros(int size, int domains) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			NetworkAddress address = NetworkAddress.of("127.0.0.1", 1 + i);
			members.add(new Member(DaemonId.of("daemon-" + i), 1, MemberStatus.ALIVE,
					FailureDomain.of("domain-" + i % domains), address, address, VERSION, 0));
		}
		FleetSnapshot view = new FleetSnapshot(members.get(size / 2).id(), members, List.of());
		run(view, WARM_UP_TICKS);
		return run(view, MEASURED_TICKS);
	}

	private static double run(FleetSnapshot view, int ticks) {
		PeerCatchUp catchUp = PeerCatchUp.create(Duration.ofSeconds(1), DeflatedImageCodec.create());
		int readers = 0;
		long start = System.nanoTime();
		for (int i = 0; i < ticks; i++) {
			readers += ConfigurationDistribution.isReader(view) ? 1 : 0;
			readers += catchUp.next(Instant.EPOCH, VERSION, view).isPresent() ? 1 : 0;
		}
		double micros = (System.nanoTime() - start) / 1e3 / ticks;
		if (readers > ticks) {
			throw new IllegalStateException("found a peer with a newer configuration");
		}
		return micros;
	}

}
