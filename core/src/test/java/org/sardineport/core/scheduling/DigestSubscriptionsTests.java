package org.sardineport.core.scheduling;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;

import static org.assertj.core.api.Assertions.assertThat;

class DigestSubscriptionsTests {

	private static final BackendServerId SERVER = BackendServerId.of("s1");

	private static final DaemonId ENTRY = DaemonId.of("a");

	private static final DaemonId OTHER_ENTRY = DaemonId.of("b");

	private final DigestSubscriptions subscriptions = new DigestSubscriptions();

	@Test
	void hasNoSubscribersAtFirst() {
		assertThat(this.subscriptions.takeDue(SERVER, 0)).isEmpty();
	}

	@Test
	void expiresTenSecondsAfterTheLastPermitRequest() {
		this.subscriptions.add(SERVER, ENTRY, 1000);
		this.subscriptions.add(SERVER, OTHER_ENTRY, 1000);
		this.subscriptions.add(SERVER, ENTRY, 1901);
		assertThat(this.subscriptions.takeDue(SERVER, 11_000)).containsExactlyInAnyOrder(ENTRY, OTHER_ENTRY);
		assertThat(this.subscriptions.takeDue(SERVER, 11_901)).containsExactly(ENTRY);
		assertThat(this.subscriptions.takeDue(SERVER, 12_801)).isEmpty();
	}

	// The reply to a permit request tells the entry the state.
	@Test
	void entryThatWasToldLatelyIsNotDue() {
		this.subscriptions.add(SERVER, ENTRY, 1000);
		assertThat(this.subscriptions.takeDue(SERVER, 1899)).isEmpty();
		assertThat(this.subscriptions.takeDue(SERVER, 1900)).containsExactly(ENTRY);
		assertThat(this.subscriptions.takeDue(SERVER, 1900)).isEmpty();
		assertThat(this.subscriptions.takeDue(SERVER, 2800)).containsExactly(ENTRY);
	}

	// The digests of a backend server must not grow with the fleet.
	@Test
	void subscribersTakeTurnsIfThereAreMany() {
		int entries = 2 * DigestSubscriptions.MAX_DIGESTS;
		for (int i = 0; i < entries; i++) {
			this.subscriptions.add(SERVER, DaemonId.of("entry-" + i), 0);
		}
		Set<DaemonId> told = new HashSet<>(this.subscriptions.takeDue(SERVER, 1000));
		assertThat(told).hasSize(DigestSubscriptions.MAX_DIGESTS);
		told.addAll(this.subscriptions.takeDue(SERVER, 2000));
		assertThat(told).hasSize(entries);
	}

	@Test
	void keepsSubscriptionsOfBackendServersApart() {
		BackendServerId otherServer = BackendServerId.of("s2");
		this.subscriptions.add(SERVER, ENTRY, 0);
		this.subscriptions.add(otherServer, OTHER_ENTRY, 0);
		this.subscriptions.remove(SERVER);
		assertThat(this.subscriptions.takeDue(SERVER, 1000)).isEmpty();
		assertThat(this.subscriptions.takeDue(otherServer, 1000)).containsExactly(OTHER_ENTRY);
	}

}
