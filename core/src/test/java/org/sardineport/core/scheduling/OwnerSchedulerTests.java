package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.RetryReason;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

import static org.assertj.core.api.Assertions.assertThat;

class OwnerSchedulerTests {

	private static final long NOW = 1_000_000;

	private static final DaemonId SELF = DaemonId.of("a");

	private static final DaemonId OTHER = DaemonId.of("b");

	private static final BackendServer SERVER = new BackendServer(BackendServerId.of("s1"), BackendKind.MODEL_ENGINE,
			SchedulingFixture.POOL, SchedulingFixture.DOMAIN, SchedulingFixture.ADDRESS, 1);

	private final SchedulingLimits limits = new SchedulingLimits(Duration.ofSeconds(1), Duration.ofMillis(500), 100);

	private final List<DaemonId> receivers = new ArrayList<>();

	private final List<SchedulingMessage> sent = new ArrayList<>();

	private final PoolDirectory directory = new PoolDirectory(SELF, (server, members) -> Optional.of(this.currentOwner),
			this.limits.assumptions(), new SplittableRandom(1));

	private final OwnerScheduler scheduler = new OwnerScheduler(SELF, this.limits, this.directory, (to, message) -> {
		this.receivers.add(to);
		this.sent.add(message);
	}, new NoEffects());

	private DaemonId currentOwner = SELF;

	@BeforeEach
	void ownServer() {
		publish(SELF, OTHER);
	}

	private void publish(DaemonId... daemons) {
		List<Member> members = new ArrayList<>();
		for (DaemonId daemon : daemons) {
			members.add(new Member(daemon, 1, MemberStatus.ALIVE, SchedulingFixture.DOMAIN, SchedulingFixture.ADDRESS,
					SchedulingFixture.ADDRESS, 0, 0));
		}
		this.directory.update(new FleetSnapshot(SELF, members, List.of(SERVER)), NOW);
		this.scheduler.onOwnersChanged(NOW);
		this.scheduler.onEntriesChanged(NOW);
	}

	private void request(DaemonId entry, String id) {
		this.scheduler.onPermitRequest(entry,
				new PermitRequest(RequestId.of(id), SERVER.id(), SERVER.pool(), OrganisationId.of("o"), Tier.STANDARD,
						0, TokenEstimate.of(10, 0), 0, RunningPolicy.CANCELLABLE, Fingerprint.of(1, 1),
						Duration.ofMinutes(1), Duration.ofMinutes(1), Duration.ofMinutes(1), false),
				NOW);
	}

	private void sendDigests() {
		this.receivers.clear();
		this.scheduler.states(NOW).forEach((state) -> this.scheduler.sendDigest(state, NOW + 1000));
	}

	@Test
	void ownsTheBackendServersThatTheDirectoryAssignsToIt() {
		assertThat(this.scheduler.ownedServers()).containsExactly(SERVER);
		this.currentOwner = OTHER;
		publish(OTHER);
		assertThat(this.scheduler.ownedServers()).isEmpty();
		assertThat(this.scheduler.states(NOW)).isEmpty();
	}

	@Test
	void refusesPermitRequestIfItIsNotTheOwner() {
		this.currentOwner = OTHER;
		publish(OTHER);
		request(OTHER, "r1");
		assertThat(this.sent).singleElement()
			.isEqualTo(new PermitRefusal(RequestId.of("r1"), SERVER.id(), PermitDenial.NOT_OWNER, Duration.ZERO, null));
	}

	@Test
	void refusesWaitingRequestWhenItGivesUpOwnership() {
		request(OTHER, "r1");
		request(OTHER, "r2");
		assertThat(this.sent.get(0)).isInstanceOf(PermitGrant.class);
		assertThat(this.sent.get(1)).isInstanceOf(PermitQueued.class);
		this.currentOwner = OTHER;
		publish(OTHER);
		assertThat(this.sent.get(2)).isInstanceOfSatisfying(PermitRefusal.class, (refusal) -> {
			assertThat(refusal.request()).isEqualTo(RequestId.of("r2"));
			assertThat(refusal.denial()).isEqualTo(PermitDenial.NOT_OWNER);
		});
	}

	@Test
	void sendsDigestsToOtherDaemonsThatRequestedAPermit() {
		request(SELF, "r1");
		sendDigests();
		assertThat(this.receivers).isEmpty();
		request(OTHER, "r2");
		sendDigests();
		assertThat(this.receivers).containsExactly(OTHER);
	}

	@Test
	void forgetsSubscriptionsWhenItGivesUpOwnership() {
		request(OTHER, "r1");
		this.currentOwner = OTHER;
		publish(OTHER);
		this.currentOwner = SELF;
		publish(SELF);
		sendDigests();
		assertThat(this.receivers).isEmpty();
	}

	/**
	 * Discards all effects.
	 */
	private static final class NoEffects implements SchedulingEffects {

		@Override
		public void send(DaemonId to, SchedulingMessage message) {
		}

		@Override
		public void recordRetry(RetryReason reason) {
		}

	}

}
