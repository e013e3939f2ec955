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
 * Operators race each other. Whatever the order, all replicas give the same verdict for
 * each offset and end in the same state, and the version of none ever decreases.
 */
class RacingPublishersTests {

	private static final int PUBLISHERS = 8;

	private static final int STEPS = 400;

	private static final int PROFILES = 4;

	/** All orders of two publishers who look and append twice each. */
	static Stream<List<Integer>> interleavings() {
		int steps = 4;
		return IntStream.range(0, 1 << (2 * steps))
			.filter((bits) -> Integer.bitCount(bits) == steps)
			.mapToObj((bits) -> IntStream.range(0, 2 * steps).mapToObj((step) -> (bits >> step) & 1).toList());
	}

	@ParameterizedTest
	@MethodSource("interleavings")
	void twoPublishersInEveryOrder(List<Integer> order) {
		World world = new World(new Random(1), 1);
		int[] steps = new int[2];
		for (int publisher : order) {
			if (steps[publisher]++ % 2 == 0) {
				world.look(publisher);
			}
			else {
				world.append(publisher, TestProfiles.publish("t" + publisher + "-" + steps[publisher],
						world.seen(publisher), TestProfiles.document("p", publisher + "-" + steps[publisher])));
			}
		}
		world.checkReplicas();
		assertThat(world.acceptedAfterOthers()).isZero();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void eightPublishersInRandomOrder(long seed) {
		Random random = new Random(seed);
		World world = new World(random, 1 + random.nextInt(3));
		for (int step = 0; step < STEPS; step++) {
			int publisher = random.nextInt(PUBLISHERS);
			switch (random.nextInt(8)) {
				case 0, 1, 2 -> world.look(publisher);
				case 3 -> world.appendSnapshot(random.nextInt(3));
				case 4 -> world.appendGarbage();
				case 5 -> world.appendAgain(publisher);
				default -> world.append(publisher, randomPublication(random, publisher, step, world));
			}
		}
		world.checkReplicas();
		assertThat(world.acceptedAfterOthers()).isZero();
		assertThat(world.count(VerdictKind.ACCEPTED)).isPositive();
		assertThat(world.count(VerdictKind.CONFLICT)).isPositive();
		assertThat(world.count(VerdictKind.INVALID)).isPositive();
	}

	private static Publication randomPublication(Random random, int publisher, int step, World world) {
		String token = publisher + "-" + step;
		String name = "p" + random.nextInt(PROFILES);
		String other = "p" + random.nextInt(PROFILES);
		return switch (random.nextInt(5)) {
			case 0 -> TestProfiles.retire(token, world.seen(publisher), name);
			case 1 -> TestProfiles.publish(token, world.seen(publisher), TestProfiles.document("bad", token));
			case 2 -> TestProfiles.publish(token, world.seen(publisher), TestProfiles.document(name, token),
					TestProfiles.document(other, token));
			default -> TestProfiles.publish(token, world.seen(publisher), TestProfiles.document(name, token));
		};
	}

	/**
	 * A log, and publishers who look at it and append to it.
	 */
	private static final class World {

		private final Random random;

		private final int offsetStep;

		private final TreeMap<Long, ConfigurationRecord> log = new TreeMap<>();

		private final Map<Integer, Long> seen = new HashMap<>();

		private final Map<Integer, Publication> last = new HashMap<>();

		private final ConfigurationReplica reference = replica();

		private final Map<Long, Verdict> verdicts = new TreeMap<>();

		/** States in the past, of which snapshots may be written late. */
		private final List<ImageSource> history = new ArrayList<>();

		private long next;

		private World(Random random, int offsetStep) {
			this.random = random;
			this.offsetStep = offsetStep;
		}

		private static ConfigurationReplica replica() {
			return ConfigurationReplica.create(TestProfiles.PARSER, TestProfiles.MemoryCodec.INSTANCE);
		}

		private void look(int publisher) {
			this.seen.put(publisher, this.reference.state().version());
		}

		private long seen(int publisher) {
			return this.seen.getOrDefault(publisher, -1L);
		}

		private void append(int publisher, Publication publication) {
			this.last.put(publisher, publication);
			append(publication);
		}

		private void appendAgain(int publisher) {
			if (this.last.containsKey(publisher)) {
				append(this.last.get(publisher));
			}
		}

		private void appendGarbage() {
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
		 * Counts accepted publications of profiles that others changed after their base.
		 */
		private long acceptedAfterOthers() {
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
			replayed(true);
			replayed(false);
			for (long truncatedAt : Arrays.asList(0L, this.next / 4, this.next / 2)) {
				truncated(truncatedAt);
			}
			for (long begin : Arrays.asList(0L, this.next / 3, this.next - 50)) {
				begunNearTheEnd(Math.max(0, begin));
			}
			caughtUpFromPeer();
		}

		private void begunNearTheEnd(long begin) {
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

		private void replayed(boolean withDuplicates) {
			ConfigurationReplica replica = replica();
			Map<Long, Verdict> mine = new TreeMap<>();
			this.log.forEach((offset, record) -> {
				replica.apply(offset, record).forEach((verdict) -> mine.put(offset, verdict));
				if (withDuplicates) {
					assertThat(replica.apply(offset, record)).isEmpty();
					Long earlier = this.log.lowerKey(offset);
					if (earlier != null) {
						assertThat(replica.apply(earlier, this.log.get(earlier))).isEmpty();
					}
				}
			});
			assertThat(mine).isEqualTo(this.verdicts);
			assertThat(replica.state()).isEqualTo(this.reference.state());
		}

		private void truncated(long firstKept) {
			ConfigurationReplica replica = replica();
			replica.expired();
			this.log.tailMap(firstKept)
				.forEach((offset, record) -> replica.apply(offset, record)
					.forEach((verdict) -> assertThat(verdict).isEqualTo(this.verdicts.get(verdict.offset()))));
			if (!replica.hasGap()) {
				assertThat(replica.state()).isEqualTo(this.reference.state());
			}
			else {
				assertThat(replica.state()).isEqualTo(ConfigurationState.EMPTY);
			}
		}

		private void caughtUpFromPeer() {
			ConfigurationReplica replica = replica();
			RecentChanges changes = RecentChanges.create();
			ConfigurationState before = ConfigurationState.EMPTY;
			long version = -1;
			for (ImageSource source : this.history) {
				changes.changed(before, source.state());
				before = source.state();
				if (this.random.nextInt(10) == 0) {
					ConfigurationImage whole = source.state().image(source.asOf(), replica.state().version());
					replica.adopt(changes.shortened(whole));
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
