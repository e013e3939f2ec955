package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: an idle daemon, and one short of processor time. Guards that a membership that is
 * run only when it is due detects a death in time, and that a daemon that does not read
 * its own messages in time declares nobody dead.
 */
class MembershipTickTests {

	private static final MembershipTiming TIMING = new MembershipTiming(Duration.ofMillis(400), Duration.ofMillis(200),
			Duration.ofMillis(1000));

	private static final Member SELF = member("self", 1);

	private static final Member OTHER = member("other", 2);

	private final List<MembershipMessage> unread = new ArrayList<>();

	private final List<MembershipEvent> events = new ArrayList<>();

	private Instant now = Instant.ofEpochSecond(100);

	private boolean readsOwnProbes = true;

	private boolean otherResponds;

	private int ticks;

	private final Membership membership = Membership.create(SELF, TIMING, () -> this.now, new SplittableRandom(1),
			new MembershipOutput() {

				@Override
				public void send(NetworkAddress to, MembershipMessage message) {
					sent(to, message);
				}

				@Override
				public void onEvent(MembershipEvent event, Member member) {
					MembershipTickTests.this.events.add(event);
				}

				@Override
				public void onStrike(StrikeUpdate strike) {
				}

				@Override
				public void onBackendLeaving(LeavingUpdate leaving) {
				}

			});

	private static Member member(String name, int port) {
		NetworkAddress address = NetworkAddress.of("10.0.0.1", port);
		return new Member(DaemonId.of(name), 1, MemberStatus.ALIVE, FailureDomain.of("zone"), address, address, 0, 0);
	}

	private void sent(NetworkAddress to, MembershipMessage message) {
		boolean own = to.equals(SELF.peerAddress());
		if ((own) ? this.readsOwnProbes : this.otherResponds) {
			this.unread.add(message);
		}
	}

	private void read() {
		List<MembershipMessage> messages = List.copyOf(this.unread);
		this.unread.clear();
		for (MembershipMessage message : messages) {
			if (this.otherResponds && message instanceof ProbeRequest probe) {
				this.membership.received(OTHER.id(), OTHER.peerAddress(),
						new ProbeResponse(probe.sequence(), GossipUpdates.of(OTHER)));
			}
			else {
				this.membership.received(SELF.id(), SELF.peerAddress(), message);
			}
		}
	}

	private void runFor(Duration time) {
		Instant end = this.now.plus(time);
		while (this.now.isBefore(end)) {
			Duration untilDue = this.membership.untilTickDue();
			this.now = this.now.plus((untilDue.compareTo(Duration.ofMillis(1)) > 0) ? untilDue : Duration.ofMillis(1));
			this.membership.tick();
			this.ticks++;
			read();
		}
	}

	private void meetOther() {
		this.membership.received(OTHER.id(), OTHER.peerAddress(), new JoinResponse(GossipUpdates.of(OTHER)));
	}

	@Test
	void idleMembershipRunsAFewTimesASecond() {
		this.otherResponds = true;
		meetOther();
		runFor(Duration.ofSeconds(20));
		assertThat(this.ticks).isLessThan(90);
		assertThat(this.events).containsExactly(MembershipEvent.JOINED);
	}

	@Test
	void deathIsDetectedInTime() {
		meetOther();
		runFor(TIMING.detectionBound());
		assertThat(this.events).endsWith(MembershipEvent.DIED);
	}

	@Test
	void nobodyIsDeclaredDeadBeforeOwnMessagesWereRead() {
		this.readsOwnProbes = false;
		meetOther();
		runFor(TIMING.detectionBound());
		assertThat(this.events).doesNotContain(MembershipEvent.DIED);
	}

	// Probes to oneself may be lost for good, and a dead daemon must still be found.
	@Test
	void deathIsDetectedWithoutOwnProbesAfterTheLongestLateness() {
		this.readsOwnProbes = false;
		meetOther();
		runFor(TIMING.detectionBound().plus(Member.MAXIMUM_LATENESS));
		assertThat(this.events).endsWith(MembershipEvent.DIED);
	}

	// The responses that came during a pause are read after the tick that follows it.
	@Test
	void pauseOfThisDaemonIsNotCountedAgainstOthers() {
		this.otherResponds = true;
		meetOther();
		runFor(Duration.ofSeconds(2));
		for (int i = 0; i < 10; i++) {
			this.now = this.now.plus(this.membership.untilTickDue()).plusMillis(390);
			this.membership.tick();
			read();
		}
		assertThat(this.events).containsExactly(MembershipEvent.JOINED);
	}

}
