package org.sardineport.core.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.OrganisationId;

import static org.assertj.core.api.Assertions.assertThat;

class OriginRegistryTests {

	private static final SoftwareVersion V1 = SoftwareVersion.of("v1");

	private static final SoftwareVersion V2 = SoftwareVersion.of("v2");

	private static final Duration KEEP = Duration.ofSeconds(30);

	private static final StreamRun RUN = new StreamRun(StreamKey.of(OrganisationId.of("o"), "id-2"), 3);

	private final List<StreamOriginMessage> sent = new ArrayList<>();

	private final List<NetworkAddress> receivers = new ArrayList<>();

	private final List<LookupOutcome> outcomes = new ArrayList<>();

	private final List<StreamOrigin> found = new ArrayList<>();

	private static final StreamRecord BOTH_VERSIONS = StreamRecord
		.of(RunOrigin.dispatched(RUN.number(), V1).merge(RunOrigin.dispatched(RUN.number(), V2)));

	private final List<Boolean> dispatched = new ArrayList<>();

	private final List<Boolean> confirmed = new ArrayList<>();

	private Instant now = Instant.EPOCH;

	private OriginRegistry registry;

	private static Member member(int number) {
		NetworkAddress address = NetworkAddress.of("10.0.0.1", 1 + number);
		return new Member(id(number), 1, MemberStatus.ALIVE, FailureDomain.of("d" + number % 3), address, address, 0,
				0);
	}

	private static DaemonId id(int number) {
		return DaemonId.of("daemon-" + number);
	}

	private OriginRegistry registry(int daemons) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < daemons; i++) {
			members.add(member(i));
		}
		FleetSnapshot snapshot = new FleetSnapshot(id(0), members, List.of());
		return OriginRegistry.create(() -> snapshot, () -> this.now, new Random(1), new Effects());
	}

	private OriginRegistry registryOfDeadOthers() {
		List<Member> members = new ArrayList<>(List.of(member(0)));
		for (int i = 1; i < 8; i++) {
			Member alive = member(i);
			members.add(new Member(alive.id(), 1, MemberStatus.DEAD, alive.failureDomain(), alive.peerAddress(),
					alive.callerAddress(), 0, 0));
		}
		FleetSnapshot snapshot = new FleetSnapshot(id(0), members, List.of());
		return OriginRegistry.create(() -> snapshot, () -> this.now, new Random(1), new Effects());
	}

	@BeforeEach
	void create() {
		this.registry = registry(60);
	}

	private void pass(Duration time) {
		this.now = this.now.plus(time);
		this.registry.tick();
	}

	private void reply(int index, StreamRecord record) {
		int correlation = correlation(this.sent.get(index));
		DaemonId sender = id(this.receivers.get(index).port() - 1);
		this.registry.received(sender, this.receivers.get(index), new OriginReply(RUN.key(), correlation, record));
	}

	private static int correlation(StreamOriginMessage message) {
		return (message instanceof OriginQuery query) ? query.correlation() : ((OriginReport) message).correlation();
	}

	private static StreamRecord begun(SoftwareVersion version) {
		return StreamRecord.of(RunOrigin.begun(RUN.number(), version));
	}

	private void find() {
		this.registry.find(RUN.key(), (evidence) -> this.found.add(evidence.origin()));
	}

	// A dispatch must be known to several other daemons before the first event.
	@Test
	void dispatchIsToldToFourOthers() {
		this.registry.dispatched(RUN, V1, KEEP, this.dispatched::add);
		assertThat(this.sent).hasSize(OriginReplicas.REPLICAS)
			.allMatch((message) -> ((OriginReport) message).run().equals(RunOrigin.dispatched(RUN.number(), V1)));
		assertThat(this.receivers).doesNotHaveDuplicates().doesNotContain(member(0).peerAddress());
	}

	// Load pattern: eight messages for each stream were a large part of a daemon's
	// processor time, though all servers ran one version.
	@Test
	void dispatchAtTheOnlyVersionIsToldToTwoOthersOnce() {
		this.registry.dispatchedAtSoleVersion(RUN, V1, KEEP);
		pass(OriginRegistry.REPEAT_AFTER);
		assertThat(this.sent).hasSize(2).allMatch((message) -> ((OriginReport) message).correlation() == 0);
		find();
		reply(2, StreamRecord.of(RunOrigin.dispatched(RUN.number(), V1)));
		reply(3, StreamRecord.EMPTY);
		pass(OriginRegistry.ANSWER_WINDOW);
		assertThat(this.found).containsExactly(StreamOrigin.of(V1));
	}

	// The second version must be known to all four, those told of the first included.
	@Test
	void dispatchAtAnotherVersionAfterTheOnlyOneIsToldAsOneOfSeveral() {
		this.registry.dispatchedAtSoleVersion(RUN, V1, KEEP);
		this.sent.clear();
		this.registry.dispatched(RUN, V2, KEEP, this.dispatched::add);
		assertThat(this.sent).hasSize(OriginReplicas.REPLICAS)
			.allMatch((message) -> ((OriginReport) message).run().state() == RunState.SEVERAL);
	}

	// A lost report must be repeated, or a single survivor may know an earlier stream
	// only.
	@Test
	void dispatchIsRepeatedUntilItIsConfirmed() {
		this.registry.dispatched(RUN, V1, KEEP, this.dispatched::add);
		StreamRecord known = StreamRecord.of(RunOrigin.dispatched(RUN.number(), V1));
		reply(0, known);
		reply(1, known);
		reply(2, StreamRecord.EMPTY);
		pass(OriginRegistry.REPEAT_AFTER);
		assertThat(this.sent).hasSize(OriginReplicas.REPLICAS + 1);
		assertThat(this.receivers.get(4)).isEqualTo(this.receivers.get(3));
		assertThat(this.dispatched).isEmpty();
		reply(4, known);
		assertThat(this.dispatched).containsExactly(true);
	}

	// A daemon that is slow to reply must not hold the first event for long.
	@Test
	void dispatchIsConfirmedByTwoAfterAWhile() {
		this.registry.dispatched(RUN, V1, KEEP, this.dispatched::add);
		StreamRecord known = StreamRecord.of(RunOrigin.dispatched(RUN.number(), V1));
		reply(0, known);
		reply(1, known);
		pass(OriginRegistry.CONFIRMATION_WINDOW.minusMillis(1));
		assertThat(this.dispatched).isEmpty();
		pass(Duration.ofMillis(1));
		assertThat(this.dispatched).containsExactly(true);
	}

	// A daemon that missed the first dispatch must not take the second for the only one.
	@Test
	void dispatchAtAnotherVersionIsToldAsOneOfSeveral() {
		this.registry.dispatched(RUN, V1, KEEP, this.dispatched::add);
		this.sent.clear();
		this.registry.dispatched(RUN, V2, KEEP, this.dispatched::add);
		assertThat(this.sent).allMatch((message) -> ((OriginReport) message).run().state() == RunState.SEVERAL);
	}

	// A daemon that knew of the first dispatch only answered that its version began the
	// stream, although the first event had come from another one.
	@Test
	void dispatchAtAnotherVersionIsConfirmedOnlyByAllDaemonsTold() {
		dispatchAtTwoVersions();
		confirmByAllButTheFirst();
		pass(OriginRegistry.CONFIRMATION_WINDOW);
		assertThat(this.dispatched).isEmpty();
		reply(0, BOTH_VERSIONS);
		assertThat(this.dispatched).containsExactly(true);
	}

	private void dispatchAtTwoVersions() {
		this.registry.dispatched(RUN, V1, KEEP, (ignored) -> {
		});
		this.sent.clear();
		this.receivers.clear();
		this.registry.dispatched(RUN, V2, KEEP, this.dispatched::add);
	}

	private void confirmByAllButTheFirst() {
		for (int i = 1; i < OriginReplicas.REPLICAS; i++) {
			reply(i, BOTH_VERSIONS);
		}
	}

	@Test
	void dispatchAtAnotherVersionIsNotConfirmedIfOneDaemonDoesNotReply() {
		dispatchAtTwoVersions();
		confirmByAllButTheFirst();
		pass(OriginRegistry.LOOKUP_TIMEOUT);
		assertThat(this.dispatched).containsExactly(false);
	}

	// A lookup must not wait for daemons that are gone once it has an answer.
	@Test
	void lookupEndsShortlyAfterTheFirstUsefulReply() {
		find();
		assertThat(this.sent).hasSize(OriginReplicas.ASKED);
		reply(2, begun(V1));
		assertThat(this.found).isEmpty();
		pass(OriginRegistry.ANSWER_WINDOW);
		assertThat(this.found).containsExactly(StreamOrigin.of(V1));
		assertThat(this.outcomes).containsExactly(LookupOutcome.REPLICA);
	}

	// Two daemons that were cut off together remembered the first dispatch only, and a
	// caller that came back to one of them got the rest from that version.
	@Test
	void dispatchIsNoProofIfMostDaemonsAskedAreSilent() {
		find();
		reply(0, StreamRecord.of(RunOrigin.dispatched(RUN.number(), V1)));
		pass(OriginRegistry.LOOKUP_TIMEOUT);
		assertThat(this.found).containsExactly(StreamOrigin.UNKNOWN);
	}

	// The same at a daemon that remembers the dispatch itself and takes all others for
	// dead.
	@Test
	void ownMemoryOfADispatchIsNoProofIfAllOthersAreTakenForDead() {
		this.registry = registryOfDeadOthers();
		RunOrigin dispatched = RunOrigin.dispatched(RUN.number(), V1);
		this.registry.received(id(4), member(4).peerAddress(), new OriginReport(RUN.key(), dispatched, KEEP, 0));
		find();
		pass(OriginRegistry.LOOKUP_TIMEOUT);
		assertThat(this.found).containsExactly(StreamOrigin.UNKNOWN);
	}

	@Test
	void begunRunIsProofWhoeverRemembersIt() {
		find();
		reply(0, begun(V2));
		pass(OriginRegistry.ANSWER_WINDOW);
		assertThat(this.found).containsExactly(StreamOrigin.of(V2));
	}

	@Test
	void remembersBegunRunsUntilTheyExpire() {
		BegunRun begun = new BegunRun(RUN, V1, KEEP);
		this.registry.dispatched(RUN, V1, KEEP, this.dispatched::add);
		assertThat(this.registry.begunRuns()).isEmpty();
		this.registry.remember(begun);
		assertThat(this.registry.begunRuns()).containsExactly(begun);
		pass(KEEP);
		assertThat(this.registry.begunRuns()).isEmpty();
	}

	// A daemon that missed the retry must not outvote one that heard of it.
	@Test
	void lookupMergesReplies() {
		find();
		reply(0, StreamRecord.of(RunOrigin.dispatched(RUN.number(), V1)));
		reply(1, begun(V2));
		pass(OriginRegistry.ANSWER_WINDOW);
		assertThat(this.found).containsExactly(StreamOrigin.of(V2));
	}

	// Of two streams under one id, this daemon may have served the other one.
	@Test
	void ownRunAloneProvesNothingWhileOthersCouldKnowMore() {
		this.registry = registry(60);
		this.registry.dispatched(RUN, V1, KEEP, this.dispatched::add);
		this.sent.clear();
		this.receivers.clear();
		find();
		for (int i = 0; i < OriginReplicas.ASKED; i++) {
			reply(i, StreamRecord.EMPTY);
		}
		assertThat(this.found).containsExactly(StreamOrigin.UNKNOWN);
		this.sent.clear();
		this.receivers.clear();
		find();
		reply(0, StreamRecord.of(RunOrigin.dispatched(RUN.number() + 1, V2)));
		pass(OriginRegistry.ANSWER_WINDOW);
		assertThat(this.found).last().isSameAs(StreamOrigin.AMBIGUOUS);
	}

	// A daemon without others has only its own memory.
	@Test
	void singleDaemonFindsItsOwnRuns() {
		this.registry = registry(1);
		this.registry.dispatched(RUN, V1, KEEP, this.dispatched::add);
		find();
		assertThat(this.found).containsExactly(StreamOrigin.of(V1));
		this.registry.begun(RUN, V1, KEEP, this.confirmed::add);
		assertThat(this.confirmed).containsExactly(true);
	}

	// Silence of all others must not hold a caller for ever.
	@Test
	void lookupTimesOut() {
		find();
		pass(OriginRegistry.LOOKUP_TIMEOUT.minusMillis(1));
		assertThat(this.found).isEmpty();
		pass(Duration.ofMillis(1));
		assertThat(this.found).containsExactly(StreamOrigin.UNKNOWN);
		assertThat(this.outcomes).containsExactly(LookupOutcome.TIMED_OUT);
	}

	// Replies of daemons not asked, repeated, or about another key must have no effect.
	@Test
	void ignoresRepliesThatWereNotAskedFor() {
		find();
		int correlation = correlation(this.sent.get(0));
		NetworkAddress address = this.receivers.get(0);
		DaemonId asked = id(address.port() - 1);
		this.registry.received(DaemonId.of("stranger"), address, new OriginReply(RUN.key(), correlation, begun(V1)));
		this.registry.received(asked, address, new OriginReply(RUN.key(), correlation + 1, begun(V1)));
		this.registry.received(asked, address, new OriginReply(new StreamKey(1, 2), correlation, begun(V1)));
		pass(OriginRegistry.LOOKUP_TIMEOUT);
		assertThat(this.found).containsExactly(StreamOrigin.UNKNOWN);
	}

	// The first event of a changed version must wait until others know the version.
	@Test
	void changedVersionIsConfirmedByReplies() {
		this.registry.dispatched(RUN, V1, KEEP, this.dispatched::add);
		this.registry.dispatched(RUN, V2, KEEP, this.dispatched::add);
		this.sent.clear();
		this.receivers.clear();
		this.registry.begun(RUN, V2, KEEP, this.confirmed::add);
		for (int i = 0; i < OriginReplicas.REPLICAS; i++) {
			assertThat(this.confirmed).isEmpty();
			reply(i, begun(V2));
		}
		assertThat(this.confirmed).containsExactly(true);
	}

	// A daemon that is cut off must not begin a stream whose version nobody knows.
	@Test
	void changedVersionIsNotConfirmedWithoutReplies() {
		this.registry.dispatched(RUN, V1, KEEP, this.dispatched::add);
		this.registry.dispatched(RUN, V2, KEEP, this.dispatched::add);
		this.sent.clear();
		this.receivers.clear();
		this.registry.begun(RUN, V2, KEEP, this.confirmed::add);
		reply(0, begun(V2));
		reply(1, StreamRecord.of(RunOrigin.dispatched(RUN.number(), V1)));
		pass(OriginRegistry.LOOKUP_TIMEOUT);
		assertThat(this.confirmed).containsExactly(false);
	}

	// Lookups without a bound would end the daemon.
	@Test
	void pendingLookupsAreBounded() {
		for (int i = 0; i <= OriginRegistry.MAXIMUM_PENDING; i++) {
			find();
		}
		assertThat(this.found).containsExactly(StreamOrigin.UNKNOWN);
		assertThat(this.outcomes).containsExactly(LookupOutcome.OVERLOADED);
	}

	// A daemon must answer for what it was told and not for what it served itself.
	@Test
	void answersWithWhatItWasTold() {
		NetworkAddress asker = member(4).peerAddress();
		RunOrigin told = RunOrigin.dispatched(RUN.number(), V1);
		this.registry.received(id(4), asker, new OriginReport(RUN.key(), told, KEEP, 0));
		assertThat(this.sent).isEmpty();
		this.registry.received(id(4), asker, new OriginQuery(RUN.key(), 9));
		assertThat(this.sent).containsExactly(new OriginReply(RUN.key(), 9, StreamRecord.of(told)));
		assertThat(this.receivers).containsExactly(asker);
		this.now = this.now.plus(KEEP);
		this.registry.received(id(4), asker, new OriginQuery(RUN.key(), 10));
		assertThat(this.sent).last().isEqualTo(new OriginReply(RUN.key(), 10, StreamRecord.EMPTY));
	}

	/**
	 * Records what the registry asks for.
	 */
	private final class Effects implements OriginEffects {

		@Override
		public void send(NetworkAddress to, StreamOriginMessage message) {
			OriginRegistryTests.this.sent.add(message);
			OriginRegistryTests.this.receivers.add(to);
		}

		@Override
		public void lookedUp(StreamKey key, LookupOutcome outcome, long millis) {
			OriginRegistryTests.this.outcomes.add(outcome);
		}

		@Override
		public void unconfirmed(StreamRun run, int replies) {
		}

	}

}
