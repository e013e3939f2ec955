package org.sardineport.core.scheduling;

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
		assertThat(this.subscriptions.current(SERVER, 0)).isEmpty();
	}

	@Test
	void expiresTenSecondsAfterTheLastPermitRequest() {
		this.subscriptions.add(SERVER, ENTRY, 1000);
		this.subscriptions.add(SERVER, OTHER_ENTRY, 1000);
		this.subscriptions.add(SERVER, ENTRY, 1001);
		assertThat(this.subscriptions.current(SERVER, 11_000)).containsExactlyInAnyOrder(ENTRY, OTHER_ENTRY);
		assertThat(this.subscriptions.current(SERVER, 11_001)).containsExactly(ENTRY);
		assertThat(this.subscriptions.current(SERVER, 11_002)).isEmpty();
	}

	@Test
	void keepsSubscriptionsOfBackendServersApart() {
		BackendServerId otherServer = BackendServerId.of("s2");
		this.subscriptions.add(SERVER, ENTRY, 0);
		this.subscriptions.add(otherServer, OTHER_ENTRY, 0);
		this.subscriptions.remove(SERVER);
		assertThat(this.subscriptions.current(SERVER, 0)).isEmpty();
		assertThat(this.subscriptions.current(otherServer, 0)).containsExactly(OTHER_ENTRY);
	}

}
