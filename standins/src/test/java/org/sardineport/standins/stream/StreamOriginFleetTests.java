package org.sardineport.standins.stream;

import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.stream.StreamKey;
import org.sardineport.core.stream.StreamRun;
import org.sardineport.standins.peer.NetworkConditions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that go on at a version that did not begin them, after up to
 * half of the daemons were killed at once.
 */
class StreamOriginFleetTests {

	private static final System.Logger LOG = System.getLogger(StreamOriginFleetTests.class.getName());

	private static final NetworkConditions DELAYED = new NetworkConditions(0, 0.05, Duration.ofMillis(1),
			Duration.ofMillis(4));

	private static final int STREAMS = 100;

	private static final int SEEDS = 10;

	/** Shortest time from a dispatch to the kill; streams unconfirmed by then end. */
	private static final Duration PREFILL = Duration.ofMillis(20);

	private static final Duration LOOKUP = Duration.ofMillis(340);

	private final ResumeCounts plain = new ResumeCounts();

	private final ResumeCounts retried = new ResumeCounts();

	private final ResumeCounts reused = new ResumeCounts();

	private static SoftwareVersion version(int number) {
		return SoftwareVersion.of("v1." + number);
	}

	private static StreamRun run(String organisation, String id, SplittableRandom random) {
		return new StreamRun(StreamKey.of(OrganisationId.of(organisation), id), random.nextInt());
	}

	// A resumed stream must not be given another version than the one that began it.
	@ParameterizedTest
	@CsvSource({ "8,1", "8,2", "8,4", "88,8", "88,22", "88,44", "300,30", "300,150" })
	void noStreamGoesOnAtAnotherVersion(int daemons, int killed) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			play(daemons, killed, DELAYED, seed);
		}
		LOG.log(Level.INFO, "daemons={0} killed={1} plain: {2}", daemons, killed, this.plain);
		LOG.log(Level.INFO, "daemons={0} killed={1} retried: {2}", daemons, killed, this.retried);
		LOG.log(Level.INFO, "daemons={0} killed={1} reused: {2}", daemons, killed, this.reused);
		assertThat(this.plain.wrong() + this.retried.wrong() + this.reused.wrong()).isZero();
		assertThat(this.plain.shareFound()).isGreaterThan(0.9);
		assertThat(this.retried.shareFound()).isGreaterThan(0.9);
	}

	// Lost messages must not make a lookup believe what only one daemon missed.
	@ParameterizedTest
	@CsvSource({ "8,4", "88,44", "300,150" })
	void noStreamGoesOnAtAnotherVersionThoughMessagesAreLost(int daemons, int killed) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			play(daemons, killed, DELAYED.withLoss(0.05), seed);
		}
		LOG.log(Level.INFO, "loss daemons={0} killed={1} plain: {2}", daemons, killed, this.plain);
		LOG.log(Level.INFO, "loss daemons={0} killed={1} retried: {2}", daemons, killed, this.retried);
		LOG.log(Level.INFO, "loss daemons={0} killed={1} reused: {2}", daemons, killed, this.reused);
		assertThat(this.plain.wrong() + this.retried.wrong() + this.reused.wrong()).isZero();
	}

	// The number of messages must not grow with the fleet.
	@ParameterizedTest
	@ValueSource(ints = { 8, 88, 300 })
	void messagesAStreamAreBounded(int daemons) {
		SplittableRandom random = new SplittableRandom(1);
		OriginFleet fleet = OriginFleet.create(daemons, 3, NetworkConditions.delayed(Duration.ofMillis(1)), 1);
		List<BegunStream> streams = plainStreams(random);
		streams.forEach((stream) -> stream.dispatch(fleet.registry(random.nextInt(daemons))));
		fleet.run(PREFILL);
		long begun = fleet.sent();
		streams.forEach((stream) -> resume(fleet, stream, this.plain, random));
		fleet.run(LOOKUP);
		LOG.log(Level.INFO, "daemons={0} messages of {1} streams={2} resumes={3}", daemons, STREAMS, begun,
				fleet.sent() - begun);
		assertThat(begun).isLessThanOrEqualTo(8L * STREAMS);
		assertThat(fleet.sent() - begun).isLessThanOrEqualTo(12L * STREAMS);
		assertThat(this.plain.shareFound()).isOne();
	}

	private void play(int daemons, int killed, NetworkConditions conditions, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		OriginFleet fleet = OriginFleet.create(daemons, 3, conditions, seed);
		List<BegunStream> plainStreams = plainStreams(random);
		List<BegunStream> retriedStreams = retriedStreams(random);
		List<BegunStream> reusedStreams = reusedStreams(random);
		begin(fleet, retriedStreams, random);
		List<BegunStream> last = new ArrayList<>(plainStreams);
		last.addAll(reusedStreams);
		last.forEach((stream) -> stream.dispatch(fleet.registry(random.nextInt(daemons))));
		fleet.run(PREFILL);
		List<Integer> victims = kill(fleet, killed, random);
		resumeAll(fleet, plainStreams, retriedStreams, reusedStreams, random);
		fleet.detectDeaths();
		resumeAll(fleet, plainStreams, retriedStreams, reusedStreams, random);
		victims.forEach(fleet::restart);
		resumeAll(fleet, plainStreams, retriedStreams, reusedStreams, random);
	}

	private static List<BegunStream> plainStreams(SplittableRandom random) {
		List<BegunStream> streams = new ArrayList<>();
		for (int i = 0; i < STREAMS; i++) {
			// Pairs of organisations use the same id at different versions.
			StreamRun run = run("organisation-" + i % 2, "id-" + i / 2, random);
			streams.add(new BegunStream(run, version(i % 2), version(i % 2)));
		}
		return streams;
	}

	private static List<BegunStream> retriedStreams(SplittableRandom random) {
		List<BegunStream> streams = new ArrayList<>();
		for (int i = 0; i < STREAMS; i++) {
			streams.add(new BegunStream(run("retrying", "id-" + i, random), version(i % 3), version((i + 1) % 3)));
		}
		return streams;
	}

	private static List<BegunStream> reusedStreams(SplittableRandom random) {
		List<BegunStream> streams = new ArrayList<>();
		for (int i = 0; i < STREAMS; i++) {
			streams.add(new BegunStream(run("reusing", "id-" + i / 2, random), version(i % 2), version(i % 2)));
		}
		return streams;
	}

	private static void begin(OriginFleet fleet, List<BegunStream> streams, SplittableRandom random) {
		int[] servers = random.ints(streams.size(), 0, fleet.size()).toArray();
		for (int i = 0; i < servers.length; i++) {
			streams.get(i).dispatch(fleet.registry(servers[i]));
		}
		fleet.run(Duration.ofMillis(20));
		for (int i = 0; i < servers.length; i++) {
			streams.get(i).retry(fleet.registry(servers[i]));
			streams.get(i).begin(fleet.registry(servers[i]));
		}
		fleet.run(LOOKUP);
	}

	private static List<Integer> kill(OriginFleet fleet, int count, SplittableRandom random) {
		List<Integer> victims = new ArrayList<>();
		while (victims.size() < count) {
			int victim = random.nextInt(fleet.size());
			if (fleet.isAlive(victim)) {
				fleet.kill(victim);
				victims.add(victim);
			}
		}
		return victims;
	}

	private void resumeAll(OriginFleet fleet, List<BegunStream> plainStreams, List<BegunStream> retriedStreams,
			List<BegunStream> reusedStreams, SplittableRandom random) {
		plainStreams.forEach((stream) -> resume(fleet, stream, this.plain, random));
		retriedStreams.forEach((stream) -> resume(fleet, stream, this.retried, random));
		reusedStreams.forEach((stream) -> resume(fleet, stream, this.reused, random));
		fleet.run(LOOKUP);
	}

	private static void resume(OriginFleet fleet, BegunStream stream, ResumeCounts counts, SplittableRandom random) {
		int asked = random.nextInt(fleet.size());
		while (!fleet.isAlive(asked)) {
			asked = random.nextInt(fleet.size());
		}
		if (stream.hasBegun()) {
			fleet.registry(asked).find(stream.run().key(), (evidence) -> counts.add(stream, evidence.origin()));
		}
	}

}
