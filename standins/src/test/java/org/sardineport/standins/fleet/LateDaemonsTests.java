package org.sardineport.standins.fleet;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.membership.MembershipEvent;
import org.sardineport.core.membership.MembershipTiming;
import org.sardineport.standins.peer.NetworkConditions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: daemons that are short of processor time run late. They must not be taken
 * for dead, as each wrong death moves what the daemon owns, and costs more processor
 * time.
 */
class LateDaemonsTests {

	private static final Logger LOG = System.getLogger(LateDaemonsTests.class.getName());

	private static final MembershipTiming TIMING = new MembershipTiming(Duration.ofMillis(400), Duration.ofMillis(200),
			Duration.ofMillis(1000));

	private static final List<String> DOMAINS = List.of("bole", "kaliti", "piassa");

	private static final NetworkConditions NORMAL = new NetworkConditions(0, 0, Duration.ofMillis(1),
			Duration.ofMillis(4));

	/**
	 * Time in which the fleet learns which daemons are late, and updates on those that
	 * were declared dead before that have spread.
	 */
	private static final Duration LEARNING_TIME = Duration.ofSeconds(15);

	private static VirtualFleet fleet(int daemons, int late, Duration lateness) {
		VirtualFleet fleet = VirtualFleet.create(daemons, DOMAINS, TIMING, NORMAL, daemons + late);
		fleet.introduceAll();
		fleet.run(Duration.ofSeconds(5));
		for (int i = 0; i < late; i++) {
			fleet.delay(i * daemons / late, lateness);
		}
		fleet.run(LEARNING_TIME);
		fleet.clearObservations();
		return fleet;
	}

	private static long count(VirtualFleet fleet, MembershipEvent event) {
		return fleet.observations().stream().filter((observation) -> observation.event() == event).count();
	}

	// Sound daemons were declared dead several times a second, by late ones and for being
	// late.
	@ParameterizedTest
	@CsvSource({ "18, 2, 1000", "18, 8, 1000", "18, 8, 500", "18, 8, 2000", "95, 9, 2000", "95, 47, 2000",
			"95, 47, 1000", "300, 30, 2000", "300, 149, 1000" })
	void lateDaemonsAreNotDeclaredDead(int daemons, int late, int millis) {
		VirtualFleet fleet = fleet(daemons, late, Duration.ofMillis(millis));
		fleet.run(Duration.ofSeconds(30));
		LOG.log(Level.INFO, "daemons={0} late={1} millis={2} deaths={3} suspicions={4}", daemons, late, millis,
				count(fleet, MembershipEvent.DIED), count(fleet, MembershipEvent.SUSPECTED));
		assertThat(fleet.observations()).noneMatch((observation) -> observation.event() == MembershipEvent.DIED);
	}

	@ParameterizedTest
	@CsvSource({ "18, 500", "18, 1000", "95, 1000" })
	void noDaemonIsDeclaredDeadIfAllAreLate(int daemons, int millis) {
		VirtualFleet fleet = fleet(daemons, daemons, Duration.ofMillis(millis));
		fleet.run(Duration.ofSeconds(30));
		LOG.log(Level.INFO, "daemons={0} all late, millis={1} deaths={2} suspicions={3}", daemons, millis,
				count(fleet, MembershipEvent.DIED), count(fleet, MembershipEvent.SUSPECTED));
		assertThat(count(fleet, MembershipEvent.DIED)).isZero();
	}

	// Each daemon ran in time, but read its messages late, as its threads waited for the
	// processor in turn.
	@ParameterizedTest
	@CsvSource({ "18, 18, 250", "18, 18, 500", "18, 4, 500", "95, 95, 250", "95, 95, 500", "95, 20, 500",
			"300, 300, 250" })
	void daemonsThatReadTheirMessagesLateAreNotDeclaredDead(int daemons, int late, int millis) {
		VirtualFleet fleet = VirtualFleet.create(daemons, DOMAINS, TIMING, NORMAL, daemons + late);
		fleet.introduceAll();
		fleet.run(Duration.ofSeconds(5));
		for (int i = 0; i < late; i++) {
			fleet.delayMessages(i * daemons / late, Duration.ofMillis(millis));
		}
		fleet.run(LEARNING_TIME);
		fleet.clearObservations();
		fleet.run(Duration.ofSeconds(30));
		LOG.log(Level.INFO, "daemons={0} slow readers={1} millis={2} deaths={3} suspicions={4}", daemons, late, millis,
				count(fleet, MembershipEvent.DIED), count(fleet, MembershipEvent.SUSPECTED));
		assertThat(count(fleet, MembershipEvent.DIED)).isZero();
	}

	// A daemon whose messages suddenly waited for a second or two, while its loop ran in
	// time, took the others for dead before it could measure any late answer.
	@ParameterizedTest
	@CsvSource({ "18, 1500", "18, 2000", "95, 1500", "95, 2000" })
	void daemonThatSuddenlyReadsItsMessagesLateDeclaresNobodyDead(int daemons, int millis) {
		VirtualFleet fleet = VirtualFleet.create(daemons, DOMAINS, TIMING, NORMAL, daemons + millis);
		fleet.introduceAll();
		fleet.run(Duration.ofSeconds(5));
		fleet.clearObservations();
		fleet.queueMessages(3, Duration.ofMillis(millis));
		fleet.run(Duration.ofSeconds(20));
		assertThat(fleet.observations())
			.filteredOn((observation) -> observation.event() == MembershipEvent.DIED
					&& !observation.member().id().equals(VirtualFleet.id(3)))
			.isEmpty();
	}

	// A killed daemon must still be found, and at once again when nobody is late any
	// more.
	@ParameterizedTest
	@ValueSource(ints = { 18, 95 })
	void killedDaemonIsFoundBesideLateOnes(int daemons) {
		VirtualFleet fleet = fleet(daemons, daemons / 2, Duration.ofSeconds(1));
		fleet.kill(1);
		fleet.run(Duration.ofSeconds(8));
		assertThat(fleet.status(3, 1)).isEqualTo(MemberStatus.DEAD);
		for (int i = 0; i < daemons; i++) {
			fleet.delay(i, Duration.ZERO);
		}
		fleet.run(Duration.ofSeconds(30));
		fleet.kill(5);
		fleet.run(TIMING.detectionBound().plusMillis(800));
		assertThat(fleet.status(3, 5)).isEqualTo(MemberStatus.DEAD);
	}

}
