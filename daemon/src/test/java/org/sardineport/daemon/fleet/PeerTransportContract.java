package org.sardineport.daemon.fleet;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.membership.GossipUpdates;
import org.sardineport.core.membership.JoinRequest;
import org.sardineport.core.membership.MembershipMessage;
import org.sardineport.core.membership.ProbeRequest;
import org.sardineport.core.port.peer.PeerMessage;
import org.sardineport.core.port.peer.PeerTransport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that every implementation of {@link PeerTransport} must pass.
 */
abstract class PeerTransportContract {

	private static final long TIMEOUT_SECONDS = 10;

	private final BlockingQueue<ReceivedMessage> received = new LinkedBlockingQueue<>();

	private NetworkAddress firstAddress;

	private NetworkAddress secondAddress;

	private PeerTransport first;

	private PeerTransport second;

	abstract NetworkAddress freeAddress();

	abstract PeerTransport transport(DaemonId daemon, long incarnation, NetworkAddress address);

	@BeforeEach
	void startBoth() {
		this.firstAddress = freeAddress();
		this.secondAddress = freeAddress();
		this.first = transport(DaemonId.of("first"), 11, this.firstAddress);
		this.second = transport(DaemonId.of("second"), 22, this.secondAddress);
		this.second.listen(MembershipMessage.class, (sender, incarnation, senderAddress, message) -> this.received
			.add(new ReceivedMessage(sender, incarnation, senderAddress, message)));
		this.first.start().toCompletableFuture().join();
		this.second.start().toCompletableFuture().join();
	}

	@AfterEach
	void stopBoth() {
		this.first.stop().toCompletableFuture().join();
		this.second.stop().toCompletableFuture().join();
	}

	private ReceivedMessage nextReceived() throws InterruptedException {
		return this.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	@Test
	void deliversMessageWithItsSender() throws InterruptedException {
		this.first.send(this.secondAddress, new ProbeRequest(3, GossipUpdates.NONE));
		assertThat(nextReceived()).isEqualTo(new ReceivedMessage(DaemonId.of("first"), 11, this.firstAddress,
				new ProbeRequest(3, GossipUpdates.NONE)));
	}

	@Test
	void deliversOnlyToListenersOfTheMessageType() throws InterruptedException {
		this.second.listen(JoinRequest.class, (sender, incarnation, address, message) -> this.received
			.add(new ReceivedMessage(sender, -1, address, message)));
		this.first.send(this.secondAddress, new ProbeRequest(1, GossipUpdates.NONE));
		assertThat(nextReceived().incarnation()).isEqualTo(11);
		this.first.send(this.secondAddress, new JoinRequest(true, GossipUpdates.NONE));
		assertThat(List.of(nextReceived().incarnation(), nextReceived().incarnation())).containsExactlyInAnyOrder(11L,
				-1L);
		assertThat(this.received).isEmpty();
	}

	@Test
	void dropsMessageToUnusedAddressAndContinues() throws InterruptedException {
		this.first.send(freeAddress(), new ProbeRequest(1, GossipUpdates.NONE));
		this.first.send(this.secondAddress, new ProbeRequest(2, GossipUpdates.NONE));
		assertThat(nextReceived().message()).isEqualTo(new ProbeRequest(2, GossipUpdates.NONE));
	}

	@Test
	void continuesAfterListenerFailure() throws InterruptedException {
		this.second.listen(JoinRequest.class, (sender, incarnation, address, message) -> {
			throw new IllegalStateException("expected by the test");
		});
		this.first.send(this.secondAddress, new JoinRequest(true, GossipUpdates.NONE));
		assertThat(nextReceived()).isNotNull();
		this.first.send(this.secondAddress, new ProbeRequest(2, GossipUpdates.NONE));
		assertThat(nextReceived().message()).isEqualTo(new ProbeRequest(2, GossipUpdates.NONE));
	}

	@Test
	void sendsNothingAfterStop() throws InterruptedException {
		this.first.stop().toCompletableFuture().join();
		this.first.send(this.secondAddress, new ProbeRequest(1, GossipUpdates.NONE));
		PeerTransport third = transport(DaemonId.of("third"), 33, freeAddress());
		third.start().toCompletableFuture().join();
		third.send(this.secondAddress, new ProbeRequest(2, GossipUpdates.NONE));
		assertThat(nextReceived().sender()).isEqualTo(DaemonId.of("third"));
		assertThat(this.received).isEmpty();
		third.stop().toCompletableFuture().join();
	}

	@Test
	void releasesItsAddressOnStop() throws InterruptedException {
		for (int run = 0; run < 20; run++) {
			this.first.stop().toCompletableFuture().join();
			this.first = transport(DaemonId.of("first"), 12 + run, this.firstAddress);
			this.first.start().toCompletableFuture().join();
			this.first.send(this.secondAddress, new ProbeRequest(run, GossipUpdates.NONE));
			assertThat(nextReceived().incarnation()).isEqualTo(12 + run);
		}
	}

	@Test
	void sendsMessagesAcceptedBeforeStop() throws InterruptedException {
		this.first.send(this.secondAddress, new ProbeRequest(1, GossipUpdates.NONE));
		this.first.stop().toCompletableFuture().join();
		assertThat(nextReceived().message()).isEqualTo(new ProbeRequest(1, GossipUpdates.NONE));
	}

	@Test
	void stopIsIdempotent() {
		this.first.stop().toCompletableFuture().join();
		this.first.stop().toCompletableFuture().join();
	}

	/**
	 * A received message with its origin.
	 *
	 * @param sender daemon that sent the message
	 * @param incarnation incarnation of the sender
	 * @param address the sender's address
	 * @param message the message
	 */
	private record ReceivedMessage(DaemonId sender, long incarnation, NetworkAddress address, PeerMessage message) {

	}

}
