package org.sardineport.core.configuration;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineport.core.configuration.ConfigurationReplica.Adoption;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.port.log.LogService;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationReplicaTests {

	private static final Publication FIRST = TestProfiles.publish("first", -1, TestProfiles.document("a", "1"));

	private static final Publication SECOND = TestProfiles.publish("second", 0, TestProfiles.document("a", "2"));

	private static final Publication THIRD = TestProfiles.publish("third", 1, TestProfiles.document("b", "1"));

	private final ConfigurationReplica replica = replica();

	private static ConfigurationReplica replica() {
		return ConfigurationReplica.create(TestProfiles.PARSER, TestProfiles.MemoryCodec.INSTANCE);
	}

	/**
	 * Returns a replica that has replayed the publications, the first one at offset 0.
	 */
	private static ConfigurationReplica replicaAfter(Publication... publications) {
		ConfigurationReplica replica = replica();
		for (int offset = 0; offset < publications.length; offset++) {
			assertThat(replica.apply(offset, publications[offset])).allMatch(Verdict::isAccepted);
		}
		return replica;
	}

	private static List<ImagePage> snapshot(ConfigurationReplica source, int pageBytes) {
		return TestProfiles.pages("s" + source.asOf(), source.state(), source.asOf(), -1, pageBytes);
	}

	@Test
	void recoversFromSnapshotWhenRecordsHaveExpired() {
		this.replica.expired();
		assertThat(this.replica.nextOffset()).isEqualTo(LogService.EARLIEST);
		ConfigurationReplica writer = replicaAfter(FIRST, SECOND);
		assertThat(this.replica.apply(2, THIRD)).as("not evaluated without the earlier records").isEmpty();
		assertThat(this.replica.hasGap()).isTrue();
		assertThat(this.replica.apply(3, snapshot(writer, 100).get(0))).singleElement()
			.satisfies((verdict) -> assertThat(verdict.offset()).isEqualTo(2));
		assertThat(this.replica.hasGap()).isFalse();
		assertThat(this.replica.state()).isEqualTo(replicaAfter(FIRST, SECOND, THIRD).state());
		assertThat(this.replica.nextOffset()).isEqualTo(4);
	}

	@Test
	void snapshotOlderThanRetainedRecordsDoesNotCloseGap() {
		this.replica.expired();
		this.replica.apply(2, THIRD);
		this.replica.apply(3, snapshot(replicaAfter(FIRST), 100).get(0));
		assertThat(this.replica.hasGap()).as("the record of offset 1 is missing").isTrue();
		assertThat(this.replica.state().profiles()).doesNotContainKey(ProfileName.of("b"));
	}

	@Test
	void snapshotIsNotUsedBeforeItsFirstPageArrives() {
		this.replica.expired();
		List<ImagePage> pages = snapshot(replicaAfter(FIRST, SECOND), 2);
		this.replica.apply(3, pages.get(1));
		assertThat(this.replica.hasGap()).isTrue();
		this.replica.apply(4, pages.get(0));
		assertThat(this.replica.state().version()).isEqualTo(1);
		assertThat(this.replica.hasGap()).as("the record of offset 2 is missing").isTrue();
	}

	@Test
	void outdatedSnapshotOfPausedDaemonChangesNothing() {
		ConfigurationReplica current = replicaAfter(FIRST, SECOND, THIRD);
		ConfigurationState before = current.state();
		snapshot(replicaAfter(FIRST), 100).forEach((page) -> current.apply(3, page));
		assertThat(current.state()).isSameAs(before);
	}

	@Test
	void imageOfStalePeerChangesNothing() {
		ConfigurationReplica current = replicaAfter(FIRST, SECOND);
		ConfigurationState before = current.state();
		assertThat(current.adopt(replicaAfter(FIRST).state().image(0, -1)).adopted()).isFalse();
		assertThat(current.state()).isSameAs(before);
	}

	@Test
	void partialImageIsAdoptedOnlyOnTopOfItsBaseVersion() {
		ConfigurationReplica newest = replicaAfter(FIRST, SECOND, THIRD);
		assertThat(this.replica.adopt(newest.state().image(2, 1)).adopted()).isFalse();
		assertThat(this.replica.adopt(newest.state().image(2, -1)).adopted()).isTrue();
		assertThat(this.replica.state()).isEqualTo(newest.state());
		assertThat(this.replica.apply(1, SECOND)).as("contained already").isEmpty();
	}

	@Test
	void retirementReachesAPeerThatIsBehind() {
		ConfigurationReplica behind = replicaAfter(FIRST, SECOND, THIRD);
		ConfigurationReplica newest = replicaAfter(FIRST, SECOND, THIRD, TestProfiles.retire("r", 2, "a"));
		behind.adopt(newest.state().image(newest.asOf(), behind.state().version()));
		assertThat(behind.state()).isEqualTo(newest.state());
		assertThat(behind.state().profiles()).containsOnlyKeys(ProfileName.of("b"));
	}

	@Test
	void imageWithAFaultyProfileChangesNothing() {
		ConfigurationImage faulty = new ConfigurationImage(5, 5, -1, -1,
				List.of(new ImageProfile(TestProfiles.document("bad", "1"), 5)), List.of(), List.of());
		Adoption adoption = this.replica.adopt(faulty);
		assertThat(adoption.adopted()).isFalse();
		assertThat(adoption.fault()).isNotEmpty();
		assertThat(this.replica.state()).isSameAs(ConfigurationState.EMPTY);
	}

	@Test
	void patchOfMissingTextChangesNothing() {
		ConfigurationReplica current = replicaAfter(FIRST);
		ConfigurationImage stray = new ConfigurationImage(9, 9, 0, -1, List.of(),
				List.of(new ProfilePatch(ProfileName.of("a"), 5, 9, new TextPatch(1, 0, "x"))), List.of());
		assertThat(current.adopt(stray).fault()).contains("not here");
		ConfigurationImage longer = new ConfigurationImage(9, 9, 0, -1, List.of(),
				List.of(new ProfilePatch(ProfileName.of("a"), 0, 9, new TextPatch(100, 0, "x"))), List.of());
		assertThat(current.adopt(longer).fault()).contains("not here");
		assertThat(current.state()).isEqualTo(replicaAfter(FIRST).state());
	}

	@Test
	void versionDoesNotDecreaseWhenLogLosesRecords() {
		ConfigurationReplica holder = replicaAfter(FIRST, SECOND, THIRD);
		ConfigurationState before = holder.state();
		holder.readUpTo(1);
		assertThat(holder.apply(1, TestProfiles.publish("x", 0, TestProfiles.document("a", "lost")))).isEmpty();
		assertThat(holder.state()).isSameAs(before);
		assertThat(holder.nextOffset()).isEqualTo(3);
	}

	@Test
	void replicaOfLogAloneConvergesAfterLogLostRecords() {
		ConfigurationReplica holder = replicaAfter(FIRST, SECOND, THIRD);
		ConfigurationReplica fresh = replicaAfter(FIRST);
		fresh.apply(1, TestProfiles.publish("x", 0, TestProfiles.document("c", "1")));
		fresh.apply(2, snapshot(holder, 100).get(0));
		assertThat(fresh.state()).isEqualTo(holder.state());
		Publication next = TestProfiles.publish("next", 2, TestProfiles.document("c", "2"));
		assertThat(fresh.apply(3, next)).isEqualTo(holder.apply(3, next)).allMatch(Verdict::isAccepted);
	}

	@Test
	void confirmationOfPeerWithSameVersionClosesGap() {
		ConfigurationReplica paused = replicaAfter(FIRST);
		paused.expired();
		paused.apply(7, TestProfiles.publish("late", 0, TestProfiles.document("a", "2")));
		assertThat(paused.state().version()).isZero();
		assertThat(paused.confirmed(0, 4)).isEmpty();
		assertThat(paused.hasGap()).isTrue();
		assertThat(paused.confirmed(0, 6)).singleElement().matches(Verdict::isAccepted);
		assertThat(paused.hasGap()).isFalse();
		assertThat(paused.state().version()).isEqualTo(7);
	}

	@Test
	void numberOfHeldBackRecordsIsBounded() {
		this.replica.expired();
		int count = ConfigurationReplica.MAX_HELD_BACK + 100;
		for (int offset = 1; offset <= count; offset++) {
			this.replica.apply(offset,
					TestProfiles.publish("t" + offset, -1, TestProfiles.document("p" + offset, "1")));
		}
		ConfigurationState early = replicaAfter(FIRST).state();
		assertThat(this.replica.adopt(early.image(0, -1)).verdicts()).as("records after the image were dropped")
			.isEmpty();
		assertThat(this.replica.hasGap()).isTrue();
		assertThat(this.replica.confirmed(0, 100)).hasSize(ConfigurationReplica.MAX_HELD_BACK);
	}

	@Test
	void unreadableRecordGetsVerdictAndChangesNothing() {
		assertThat(this.replica.apply(0, new UnreadableRecord("garbage"))).singleElement()
			.satisfies((verdict) -> assertThat(verdict.kind()).isEqualTo(VerdictKind.UNREADABLE));
		assertThat(this.replica.apply(1, new ImagePage("x", 9, 0, 1, new byte[] { 1 }))).isEmpty();
		assertThat(this.replica.state()).isSameAs(ConfigurationState.EMPTY);
	}

}
