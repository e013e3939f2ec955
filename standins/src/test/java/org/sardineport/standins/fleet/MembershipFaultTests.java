package org.sardineport.standins.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.membership.MembershipEvent;
import org.sardineport.core.membership.MembershipTiming;
import org.sardineport.standins.peer.NetworkConditions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the detection of failed daemons under message loss, partitions and restarts: dead
 * daemons must be found in time, and live ones must not be declared dead.
 */
class MembershipFaultTests {

	private static final MembershipTiming TIMING = new MembershipTiming(Duration.ofMillis(400), Duration.ofMillis(200),
			Duration.ofMillis(1000));

	private static final Duration DETECTION_TARGET = Duration.ofSeconds(3);

	private static final Duration SETTLING_TIME = Duration.ofSeconds(10);

	private static final List<String> DOMAINS = List.of("bole", "kaliti", "piassa");

	private static final NetworkConditions NORMAL = new NetworkConditions(0, 0, Duration.ofMillis(1),
			Duration.ofMillis(4));

	private static VirtualFleet settledFleet(int daemons, NetworkConditions conditions, long seed) {
		VirtualFleet fleet = VirtualFleet.create(daemons, DOMAINS, TIMING, NORMAL, seed);
		fleet.run(SETTLING_TIME);
		for (int observer = 0; observer < daemons; observer++) {
			assertThat(fleet.membership(observer).members()).hasSize(daemons)
				.allMatch((member) -> member.status() == MemberStatus.ALIVE);
		}
		fleet.network().conditions(conditions);
		fleet.clearObservations();
		return fleet;
	}

	private static List<Observation> deaths(VirtualFleet fleet) {
		return fleet.observations().stream().filter((found) -> found.event() == MembershipEvent.DIED).toList();
	}

	private static void assertAllSeeEachOtherAlive(VirtualFleet fleet, int daemons) {
		for (int observer = 0; observer < daemons; observer++) {
			for (int subject = 0; subject < daemons; subject++) {
				assertThat(fleet.status(observer, subject)).as("%d of %d", observer, subject)
					.isEqualTo(MemberStatus.ALIVE);
			}
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 2, 3, 8, 32 })
	void detectsAKilledDaemonEverywhereWithinTheTarget(int daemons) {
		for (long seed = 1; seed <= 40; seed++) {
			VirtualFleet fleet = settledFleet(daemons, NORMAL, seed);
			Instant killed = fleet.now();
			fleet.kill(1);
			fleet.run(DETECTION_TARGET);
			for (int observer = 0; observer < daemons; observer++) {
				if (observer != 1) {
					assertThat(fleet.status(observer, 1)).as("seed %d, daemon %d", seed, observer)
						.isEqualTo(MemberStatus.DEAD);
				}
			}
			assertThat(deaths(fleet)).allMatch((found) -> found.member().id().equals(VirtualFleet.id(1)))
				.allMatch((found) -> found.at().isAfter(killed));
		}
	}

	@ParameterizedTest
	@CsvSource({ "8, 1", "8, 2", "32, 1" })
	void declaresNoDaemonDeadInAnHourOfMessageLoss(int daemons, long seed) {
		VirtualFleet fleet = settledFleet(daemons, NORMAL.withLoss(0.05), seed);
		fleet.run(Duration.ofHours(1));
		assertThat(deaths(fleet)).isEmpty();
	}

	@ParameterizedTest
	@EnumSource(HarmlessFault.class)
	void declaresNoDaemonDeadUnder(HarmlessFault fault) {
		VirtualFleet fleet = settledFleet(8, NORMAL, 7);
		fault.inject.accept(fleet);
		fleet.run(Duration.ofMinutes(1));
		assertThat(deaths(fleet)).isEmpty();
		fleet.network().heal();
		fleet.network().conditions(NORMAL);
		fleet.run(SETTLING_TIME);
		assertThat(deaths(fleet)).isEmpty();
		assertAllSeeEachOtherAlive(fleet, 8);
	}

	@ParameterizedTest
	@EnumSource(Isolation.class)
	void anIsolatedDaemonIsDeclaredDeadOnceAndRejoinsOnce(Isolation isolation) {
		VirtualFleet fleet = settledFleet(8, NORMAL, 11);
		isolation.inject.accept(fleet);
		fleet.run(Duration.ofMinutes(1));
		Set<String> declared = deaths(fleet).stream()
			.map((found) -> found.member().id().value())
			.collect(Collectors.toSet());
		assertThat(declared).as("only the isolated daemon is declared dead").containsExactly("daemon-3");
		assertThat(deaths(fleet)).as("each daemon declares it once").hasSize(7);
		fleet.network().heal();
		fleet.resume(3);
		fleet.run(SETTLING_TIME);
		assertAllSeeEachOtherAlive(fleet, 8);
		assertThat(deaths(fleet)).as("its return causes no further declaration").hasSize(7);
	}

	@Test
	void halvesOfAPartitionMergeAfterItHeals() {
		VirtualFleet fleet = settledFleet(8, NORMAL, 5);
		for (int one = 0; one < 8; one++) {
			for (int other = 0; other < 8; other++) {
				if (one % 2 != other % 2) {
					fleet.network().cut(VirtualFleet.address(one), VirtualFleet.address(other));
				}
			}
		}
		fleet.run(Duration.ofMinutes(2));
		assertThat(fleet.status(0, 2)).isEqualTo(MemberStatus.ALIVE);
		assertThat(fleet.status(0, 1).isEligible()).isFalse();
		fleet.network().heal();
		fleet.run(Duration.ofSeconds(20));
		assertAllSeeEachOtherAlive(fleet, 8);
	}

	@Test
	void aRestartedDaemonReplacesItsEarlierIncarnation() {
		VirtualFleet fleet = settledFleet(8, NORMAL, 3);
		fleet.restart(4);
		fleet.run(SETTLING_TIME);
		assertAllSeeEachOtherAlive(fleet, 8);
		assertThat(deaths(fleet)).isEmpty();
	}

	@Test
	void aFlappingDaemonIsKnownByItsLastIncarnation() {
		VirtualFleet fleet = settledFleet(8, NORMAL, 3);
		for (int run = 0; run < 10; run++) {
			fleet.kill(4);
			fleet.run(Duration.ofMillis(3_500));
			fleet.restart(4);
			fleet.run(Duration.ofMillis(1_500));
		}
		fleet.run(SETTLING_TIME);
		assertAllSeeEachOtherAlive(fleet, 8);
	}

	@Test
	void leavingIsKnownEverywhereWithinOneProbeTimeout() {
		VirtualFleet fleet = settledFleet(8, NORMAL, 9);
		fleet.membership(2).leave();
		fleet.run(TIMING.probeTimeout());
		for (int observer = 0; observer < 8; observer++) {
			assertThat(fleet.status(observer, 2)).isEqualTo(MemberStatus.LEAVING);
		}
		fleet.run(Duration.ofMinutes(10));
		assertThat(deaths(fleet)).as("a leaving daemon stays alive as long as it responds").isEmpty();
		fleet.membership(2).announceStopped();
		fleet.kill(2);
		fleet.run(TIMING.probeTimeout());
		for (int observer = 0; observer < 8; observer++) {
			if (observer != 2) {
				assertThat(fleet.status(observer, 2)).isEqualTo(MemberStatus.DEAD);
			}
		}
	}

	@Test
	void leavingIsKnownEverywhereDespiteMessageLoss() {
		for (long seed = 1; seed <= 20; seed++) {
			VirtualFleet fleet = settledFleet(32, NORMAL.withLoss(0.2), seed);
			fleet.membership(2).leave();
			fleet.run(Duration.ofSeconds(2));
			for (int observer = 0; observer < 32; observer++) {
				assertThat(fleet.status(observer, 2)).as("seed %d", seed).isNotEqualTo(MemberStatus.ALIVE);
			}
		}
	}

	@Test
	void aLeavingDaemonThatDiesIsFoundDead() {
		VirtualFleet fleet = settledFleet(8, NORMAL, 9);
		fleet.membership(2).leave();
		fleet.run(Duration.ofSeconds(5));
		fleet.kill(2);
		fleet.run(DETECTION_TARGET);
		assertThat(fleet.status(0, 2)).isEqualTo(MemberStatus.DEAD);
	}

	@Test
	void halfOfTheFleetThatDiesAtOnceIsNeverEligible() {
		VirtualFleet fleet = settledFleet(8, NORMAL, 13);
		for (int number = 4; number < 8; number++) {
			fleet.kill(number);
		}
		fleet.run(Duration.ofSeconds(6));
		for (int dead = 4; dead < 8; dead++) {
			assertThat(fleet.status(0, dead).isEligible()).isFalse();
		}
		assertThat(fleet.status(0, 1)).isEqualTo(MemberStatus.ALIVE);
	}

	@Test
	void daemonsOfOtherRegionsAreNotMembers() {
		VirtualFleet fleet = VirtualFleet.create(8, List.of("east.a", "west.a"), TIMING, NORMAL, 2);
		fleet.run(SETTLING_TIME);
		assertThat(fleet.membership(0).members()).hasSize(4)
			.allMatch((member) -> member.failureDomain().value().equals("east.a"));
	}

	@Test
	void costPerDaemonStaysFlatAsTheFleetGrows() {
		double small = messagesPerDaemonAndSecond(8);
		double large = messagesPerDaemonAndSecond(128);
		assertThat(large).isLessThan(small * 1.1);
	}

	@Test
	void seedsOfAnotherRegionAreNotAskedAgainAndAgain() {
		double oneRegion = messagesPerDaemonAndSecond(64);
		double fourRegions = messagesPerDaemonAndSecond(64, List.of("a.1", "b.1", "c.1", "d.1"));
		assertThat(fourRegions).isLessThan(oneRegion * 1.1);
	}

	private static double messagesPerDaemonAndSecond(int daemons) {
		return messagesPerDaemonAndSecond(daemons, DOMAINS);
	}

	private static double messagesPerDaemonAndSecond(int daemons, List<String> domains) {
		VirtualFleet fleet = VirtualFleet.create(daemons, domains, TIMING, NORMAL, 1);
		fleet.introduceAll();
		fleet.run(Duration.ofSeconds(60));
		long before = fleet.network().sent();
		fleet.run(Duration.ofSeconds(60));
		return (fleet.network().sent() - before) / 60.0 / daemons;
	}

	private static void cutOneWay(VirtualFleet fleet, int from, int to) {
		fleet.network().cut(VirtualFleet.address(from), VirtualFleet.address(to));
	}

	/**
	 * Faults that must not lead to a declaration of death: indirect probes bypass them,
	 * or they end before the suspicion times out.
	 */
	enum HarmlessFault {

		ONE_WAY_BETWEEN_TWO((fleet) -> cutOneWay(fleet, 1, 2)),

		BOTH_WAYS_BETWEEN_TWO((fleet) -> {
			cutOneWay(fleet, 1, 2);
			cutOneWay(fleet, 2, 1);
		}),

		ONE_WAY_FROM_ONE_TO_THREE((fleet) -> {
			cutOneWay(fleet, 1, 2);
			cutOneWay(fleet, 1, 3);
			cutOneWay(fleet, 1, 4);
		}),

		DUPLICATES((fleet) -> fleet.network()
			.conditions(new NetworkConditions(0, 0.5, Duration.ofMillis(1), Duration.ofMillis(4)))),

		REORDERING((fleet) -> fleet.network()
			.conditions(new NetworkConditions(0, 0, Duration.ofMillis(1), Duration.ofMillis(60)))),

		LOSS_AND_DUPLICATES_AND_REORDERING((fleet) -> fleet.network()
			.conditions(new NetworkConditions(0.05, 0.2, Duration.ofMillis(1), Duration.ofMillis(60)))),

		PAUSE_OF_A_SECOND((fleet) -> {
			fleet.pause(3);
			fleet.run(Duration.ofSeconds(1));
			fleet.resume(3);
		}),

		CUT_OF_A_SECOND((fleet) -> {
			for (int other = 0; other < 8; other++) {
				cutOneWay(fleet, 3, other);
				cutOneWay(fleet, other, 3);
			}
			fleet.run(Duration.ofSeconds(1));
			fleet.network().heal();
		});

		private final Consumer<VirtualFleet> inject;

		HarmlessFault(Consumer<VirtualFleet> inject) {
			this.inject = inject;
		}

	}

	/**
	 * Ways in which one daemon is separated from all others.
	 */
	enum Isolation {

		RECEIVES_NOTHING((fleet) -> {
			for (int other = 0; other < 8; other++) {
				cutOneWay(fleet, other, 3);
			}
		}),

		IS_NOT_RECEIVED((fleet) -> {
			for (int other = 0; other < 8; other++) {
				cutOneWay(fleet, 3, other);
			}
		}),

		BOTH((fleet) -> {
			for (int other = 0; other < 8; other++) {
				cutOneWay(fleet, 3, other);
				cutOneWay(fleet, other, 3);
			}
		}),

		PAUSED((fleet) -> fleet.pause(3));

		private final Consumer<VirtualFleet> inject;

		Isolation(Consumer<VirtualFleet> inject) {
			this.inject = inject;
		}

	}

}
