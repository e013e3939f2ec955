package org.sardineport.core.configuration;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.identity.ProfileName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against replicas that diverge when operators publish concurrently: in every
 * order of publications all replicas give the same verdict for each offset and end in the
 * same state, and no version ever decreases.
 */
class RacingPublishersTests {

	private static final int PUBLISHERS = 8;

	private static final int STEPS = 400;

	private static final int PROFILES = 4;

	/** All interleavings of two publishers that each read and append twice. */
	static Stream<List<Integer>> interleavings() {
		int steps = 4;
		return IntStream.range(0, 1 << (2 * steps))
			.filter((bits) -> Integer.bitCount(bits) == steps)
			.mapToObj((bits) -> IntStream.range(0, 2 * steps).mapToObj((step) -> (bits >> step) & 1).toList());
	}

	@ParameterizedTest
	@MethodSource("interleavings")
	void twoPublishersInEveryOrder(List<Integer> order) {
		Simulation simulation = new Simulation(new Random(1), 1);
		int[] steps = new int[2];
		for (int publisher : order) {
			if (steps[publisher]++ % 2 == 0) {
				simulation.readVersion(publisher);
			}
			else {
				simulation.append(publisher,
						TestProfiles.publish("t" + publisher + "-" + steps[publisher],
								simulation.lastReadVersion(publisher),
								TestProfiles.document("p", publisher + "-" + steps[publisher])));
			}
		}
		simulation.checkReplicas();
		assertThat(simulation.acceptedDespiteConflict()).isZero();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void eightPublishersInRandomOrder(long seed) {
		Random random = new Random(seed);
		Simulation simulation = new Simulation(random, 1 + random.nextInt(3));
		for (int step = 0; step < STEPS; step++) {
			int publisher = random.nextInt(PUBLISHERS);
			switch (random.nextInt(8)) {
				case 0, 1, 2 -> simulation.readVersion(publisher);
				case 3 -> simulation.appendSnapshot(random.nextInt(3));
				case 4 -> simulation.appendUnreadable();
				case 5 -> simulation.appendLastAgain(publisher);
				default -> simulation.append(publisher, randomPublication(random, publisher, step, simulation));
			}
		}
		simulation.checkReplicas();
		assertThat(simulation.acceptedDespiteConflict()).isZero();
		assertThat(simulation.count(VerdictKind.ACCEPTED)).isPositive();
		assertThat(simulation.count(VerdictKind.CONFLICT)).isPositive();
		assertThat(simulation.count(VerdictKind.INVALID)).isPositive();
	}

	private static Publication randomPublication(Random random, int publisher, int step, Simulation simulation) {
		String token = publisher + "-" + step;
		String name = "p" + random.nextInt(PROFILES);
		String other = "p" + random.nextInt(PROFILES);
		return switch (random.nextInt(5)) {
			case 0 -> TestProfiles.retire(token, simulation.lastReadVersion(publisher), name);
			case 1 ->
				TestProfiles.publish(token, simulation.lastReadVersion(publisher), TestProfiles.document("bad", token));
			case 2 -> TestProfiles.publish(token, simulation.lastReadVersion(publisher),
					TestProfiles.document(name, token), TestProfiles.document(other, token));
			default ->
				TestProfiles.publish(token, simulation.lastReadVersion(publisher), TestProfiles.document(name, token));
		};
	}

	/**
	 * Simulates a log and publishers that read it and append to it.
	 */
	private static final class Simulation {

		private final Random random;

		private final int offsetStep;

		private final TreeMap<Long, ConfigurationRecord> log = new TreeMap<>();

		private final Map<Integer, Long> lastReadVersion = new HashMap<>();

		private final Map<Integer, Publication> last = new HashMap<>();

		private final ConfigurationReplica reference = replica();

		private final Map<Long, Verdict> verdicts = new TreeMap<>();

		/** Past states, from which outdated snapshots are written. */
		private final List<ImageSource> history = new ArrayList<>();

		private long next;

		private Simulation(Random random, int offsetStep) {
			this.random = random;
			this.offsetStep = offsetStep;
		}

		private static ConfigurationReplica replica() {
			return ConfigurationReplica.create(TestProfiles.PARSER, TestProfiles.MemoryCodec.INSTANCE);
		}

		private void readVersion(int publisher) {
			this.lastReadVersion.put(publisher, this.reference.state().version());
		}

		private long lastReadVersion(int publisher) {
			return this.lastReadVersion.getOrDefault(publisher, -1L);
		}

		private void append(int publisher, Publication publication) {
			this.last.put(publisher, publication);
			append(publication);
		}

		private void appendLastAgain(int publisher) {
			if (this.last.containsKey(publisher)) {
				append(this.last.get(publisher));
			}
		}

		private void appendUnreadable() {
			append(new UnreadableRecord("garbage"));
		}

		private void appendSnapshot(int age) {
			int index = this.history.size() - 1 - age * 20;
			if (index >= 0) {
				ImageSource source = this.history.get(index);
				TestProfiles.pages("s" + this.next, source.state(), source.asOf(), -1, 2).forEach(this::append);
			}
		}

		private void append(ConfigurationRecord record) {
			long offset = this.next;
			this.next += this.offsetStep;
			this.log.put(offset, record);
			long before = this.reference.state().version();
			this.reference.apply(offset, record).forEach((verdict) -> this.verdicts.put(offset, verdict));
			assertThat(this.reference.state().version()).isGreaterThanOrEqualTo(before);
			this.history.add(new ImageSource(this.reference.state(), this.reference.asOf()));
		}

		private long count(VerdictKind kind) {
			return this.verdicts.values().stream().filter((verdict) -> verdict.kind() == kind).count();
		}

		/**
		 * Counts accepted publications of profiles that others changed after the base
		 * version.
		 */
		private long acceptedDespiteConflict() {
			Map<ProfileName, Long> changed = new HashMap<>();
			long wrong = 0;
			for (Verdict verdict : this.verdicts.values()) {
				if (verdict.isAccepted()) {
					Publication publication = (Publication) this.log.get(verdict.offset());
					for (ProfileName name : publication.touched()) {
						Long before = changed.put(name, verdict.offset());
						wrong += (before != null && before > publication.baseVersion()) ? 1 : 0;
					}
				}
			}
			return wrong;
		}

		private void checkReplicas() {
			checkReplay(true);
			checkReplay(false);
			for (long truncatedAt : Arrays.asList(0L, this.next / 4, this.next / 2)) {
				checkTruncatedLog(truncatedAt);
			}
			for (long begin : Arrays.asList(0L, this.next / 3, this.next - 50)) {
				checkStartAt(Math.max(0, begin));
			}
			checkPeerCatchUp();
		}

		private void checkStartAt(long begin) {
			ConfigurationReplica replica = replica();
			replica.beginAt(begin);
			this.log.tailMap(begin)
				.forEach((offset, record) -> replica.apply(offset, record)
					.forEach((verdict) -> assertThat(verdict).isEqualTo(this.verdicts.get(verdict.offset()))));
			replica.readUpTo(this.next);
			if (begin == 0 || !replica.hasGap()) {
				assertThat(replica.state()).isEqualTo(this.reference.state());
			}
		}

		private void checkReplay(boolean withDuplicates) {
			ConfigurationReplica replica = replica();
			Map<Long, Verdict> ownVerdicts = new TreeMap<>();
			this.log.forEach((offset, record) -> {
				replica.apply(offset, record).forEach((verdict) -> ownVerdicts.put(offset, verdict));
				if (withDuplicates) {
					assertThat(replica.apply(offset, record)).isEmpty();
					Long earlier = this.log.lowerKey(offset);
					if (earlier != null) {
						assertThat(replica.apply(earlier, this.log.get(earlier))).isEmpty();
					}
				}
			});
			assertThat(ownVerdicts).isEqualTo(this.verdicts);
			assertThat(replica.state()).isEqualTo(this.reference.state());
		}

		private void checkTruncatedLog(long firstRetained) {
			ConfigurationReplica replica = replica();
			replica.expired();
			this.log.tailMap(firstRetained)
				.forEach((offset, record) -> replica.apply(offset, record)
					.forEach((verdict) -> assertThat(verdict).isEqualTo(this.verdicts.get(verdict.offset()))));
			if (!replica.hasGap()) {
				assertThat(replica.state()).isEqualTo(this.reference.state());
			}
			else {
				assertThat(replica.state()).isEqualTo(ConfigurationState.EMPTY);
			}
		}

		private void checkPeerCatchUp() {
			ConfigurationReplica replica = replica();
			RecentChanges changes = RecentChanges.create();
			ConfigurationState before = ConfigurationState.EMPTY;
			long version = -1;
			for (ImageSource source : this.history) {
				changes.recordChanges(before, source.state());
				before = source.state();
				if (this.random.nextInt(10) == 0) {
					ConfigurationImage image = source.state().image(source.asOf(), replica.state().version());
					replica.adopt(changes.withPatches(image));
					assertThat(replica.state()).isEqualTo(source.state());
				}
				assertThat(replica.state().version()).isGreaterThanOrEqualTo(version);
				version = replica.state().version();
			}
			this.log.tailMap(replica.nextOffset()).forEach(replica::apply);
			assertThat(replica.state()).isEqualTo(this.reference.state());
		}

	}

	private record ImageSource(ConfigurationState state, long asOf) {
	}

}
