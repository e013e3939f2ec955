package org.sardineport.bench.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;
import org.sardineport.core.membership.MembershipEvent;
import org.sardineport.core.membership.MembershipTiming;
import org.sardineport.standins.fleet.Observation;
import org.sardineport.standins.fleet.VirtualFleet;
import org.sardineport.standins.peer.NetworkConditions;

/**
 * Measures the time from the failure of a daemon until all others have detected it, in
 * virtual time.
 */
final class Detection {

	private static final Duration SETTLING = Duration.ofSeconds(12);

	private static final Duration OBSERVATION_TIME = Duration.ofSeconds(12);

	private static final int KILLED_DAEMON = 1;

	/**
	 * Milliseconds until the last daemon suspects the failed one, and sends it no new
	 * work.
	 */
	private final Histogram suspected = new Histogram(3);

	/** Milliseconds until the last daemon declares the failed one dead. */
	private final Histogram dead = new Histogram(3);

	private Detection() {
	}

	static Detection measure(int members, int kills, List<String> domains, MembershipTiming timing,
			NetworkConditions network) {
		Detection detection = new Detection();
		for (int seed = 1; seed <= kills; seed++) {
			VirtualFleet fleet = VirtualFleet.create(members, domains, timing, network, seed);
			fleet.introduceAll();
			fleet.run(SETTLING.plusMillis(20L * (seed % 50)));
			fleet.clearObservations();
			Instant killed = fleet.now();
			fleet.kill(KILLED_DAEMON);
			fleet.run(OBSERVATION_TIME);
			detection.add(fleet.observations(), killed, members - 1);
		}
		return detection;
	}

	/**
	 * Counts false positives, declarations of death of daemons that are alive.
	 * @param members number of daemons
	 * @param time virtual time to observe
	 * @param domains failure domains, assigned to the daemons in turn
	 * @param timing intervals and timeouts of the membership
	 * @param network loss, duplication and delay of messages
	 * @return number of false declarations over all observers
	 */
	static long falseDeaths(int members, Duration time, List<String> domains, MembershipTiming timing,
			NetworkConditions network) {
		VirtualFleet fleet = VirtualFleet.create(members, domains, timing, network, members);
		fleet.introduceAll();
		fleet.run(SETTLING);
		long deaths = 0;
		for (Duration passed = Duration.ZERO; passed.compareTo(time) < 0; passed = passed.plus(Duration.ofMinutes(1))) {
			fleet.clearObservations();
			fleet.run(Duration.ofMinutes(1));
			deaths += fleet.observations().stream().filter((found) -> found.event() == MembershipEvent.DIED).count();
		}
		return deaths;
	}

	Histogram suspected() {
		return this.suspected;
	}

	Histogram dead() {
		return this.dead;
	}

	private void add(List<Observation> observations, Instant killed, int observers) {
		record(this.dead, observations, killed, observers, List.of(MembershipEvent.DIED));
		record(this.suspected, observations, killed, observers,
				List.of(MembershipEvent.SUSPECTED, MembershipEvent.DIED));
	}

	private static void record(Histogram histogram, List<Observation> observations, Instant killed, int observers,
			List<MembershipEvent> events) {
		List<Instant> first = observations.stream()
			.filter((found) -> found.member().id().equals(VirtualFleet.id(KILLED_DAEMON))
					&& events.contains(found.event()))
			.collect(Collectors.groupingBy(Observation::observer,
					Collectors.mapping(Observation::at, Collectors.minBy(Instant::compareTo))))
			.values()
			.stream()
			.flatMap(Optional::stream)
			.sorted()
			.toList();
		boolean known = first.size() == observers;
		histogram.recordValue(
				(known) ? Duration.between(killed, first.get(observers - 1)).toMillis() : OBSERVATION_TIME.toMillis());
	}

}
