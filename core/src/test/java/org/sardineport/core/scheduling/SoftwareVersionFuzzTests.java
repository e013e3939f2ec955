package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.request.Tier;
import org.sardineport.core.scheduling.SchedulingFixture.Caller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards streams against permits for another software version under random load, while
 * servers are replaced under their names and daemons hear of it at different times.
 */
class SoftwareVersionFuzzTests {

	private static final int STEPS = 600;

	private static final int DAEMONS = 3;

	private static final List<SoftwareVersion> VERSIONS = List.of(SoftwareVersion.UNKNOWN, SoftwareVersion.of("v1"),
			SoftwareVersion.of("v2"));

	private final SchedulingFixture fleet = new SchedulingFixture().daemons("d0", "d1", "d2");

	private final List<Caller> waiting = new ArrayList<>();

	private final List<Caller> running = new ArrayList<>();

	private int granted;

	// Any order of replacements, moves and grants might hand a stream to another version.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void permitsAreForTheRequiredVersion(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		int servers = (seed % 2 == 0) ? 24 : 5;
		for (int i = 0; i < servers; i++) {
			this.fleet.server("s" + i, 3, daemon(random), version(random));
		}
		this.fleet.publishFleet();
		for (int i = 0; i < STEPS; i++) {
			step(random, servers);
			checkNewPermits();
		}
		assertThat(this.granted).isGreaterThan(STEPS / 10);
	}

	private void step(SplittableRandom random, int servers) {
		switch (random.nextInt(6)) {
			case 0, 1 -> submit(random);
			case 2 -> endOne(random);
			case 3 -> this.fleet.advance(Duration.ofMillis(25 + random.nextInt(300)));
			case 4 -> deliverSome(random);
			default -> replaceOrPublish(random, servers);
		}
	}

	private void submit(SplittableRandom random) {
		Tier tier = Tier.values()[random.nextInt(Tier.values().length)];
		SchedulingRequest request = this.fleet.request(tier).withRequiredVersion(version(random));
		this.waiting.add(this.fleet.submit(daemon(random), request));
	}

	private void endOne(SplittableRandom random) {
		if (!this.running.isEmpty()) {
			Caller caller = this.running.remove(random.nextInt(this.running.size()));
			caller.complete(Duration.ofMillis(10), Duration.ofMillis(50));
		}
	}

	private void deliverSome(SplittableRandom random) {
		for (int i = random.nextInt(20); i > 0 && !this.fleet.sent.isEmpty(); i--) {
			this.fleet.deliver(this.fleet.sent.remove(random.nextInt(Math.min(4, this.fleet.sent.size()))));
		}
	}

	private void replaceOrPublish(SplittableRandom random, int servers) {
		if (random.nextInt(3) == 0) {
			this.fleet.replaceServer("s" + random.nextInt(servers), version(random));
		}
		this.fleet.publishFleetTo(daemon(random));
	}

	private void checkNewPermits() {
		for (Caller caller : List.copyOf(this.waiting)) {
			assertThat(caller.decisions()).isLessThan(2);
			if (caller.isGranted()) {
				checkVersion(caller.permit(), caller.request());
				this.running.add(caller);
				this.granted++;
			}
			if (!caller.isWaiting()) {
				this.waiting.remove(caller);
			}
		}
	}

	private void checkVersion(Permit permit, SchedulingRequest request) {
		BackendServer server = permit.backendServer();
		assertThat(server.softwareVersion()).isEqualTo(request.requiredVersion());
	}

	private static String daemon(SplittableRandom random) {
		return "d" + random.nextInt(DAEMONS);
	}

	private static SoftwareVersion version(SplittableRandom random) {
		return VERSIONS.get(random.nextInt(VERSIONS.size()));
	}

}
