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
 * What every {@link PeerTransport} must do.
 */
abstract class PeerTransportContract {

	private static final long PATIENCE_SECONDS = 10;

	private final BlockingQueue<Heard> heard = new LinkedBlockingQueue<>();

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
		this.second.listen(MembershipMessage.class, (sender, incarnation, senderAddress, message) -> this.heard
			.add(new Heard(sender, incarnation, senderAddress, message)));
		this.first.start().toCompletableFuture().join();
		this.second.start().toCompletableFuture().join();
	}

	@AfterEach
	void stopBoth() {
		this.first.stop().toCompletableFuture().join();
		this.second.stop().toCompletableFuture().join();
	}

	private Heard next() throws InterruptedException {
		return this.heard.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
	}

	@Test
	void carriesAMessageWithItsSender() throws InterruptedException {
		this.first.send(this.secondAddress, new ProbeRequest(3, GossipUpdates.NONE));
		assertThat(next())
			.isEqualTo(new Heard(DaemonId.of("first"), 11, this.firstAddress, new ProbeRequest(3, GossipUpdates.NONE)));
	}

	@Test
	void reachesOnlyListenersOfTheType() throws InterruptedException {
		this.second.listen(JoinRequest.class,
				(sender, incarnation, address, message) -> this.heard.add(new Heard(sender, -1, address, message)));
		this.first.send(this.secondAddress, new ProbeRequest(1, GossipUpdates.NONE));
		assertThat(next().incarnation()).isEqualTo(11);
		this.first.send(this.secondAddress, new JoinRequest(true, GossipUpdates.NONE));
		assertThat(List.of(next().incarnation(), next().incarnation())).containsExactlyInAnyOrder(11L, -1L);
		assertThat(this.heard).isEmpty();
	}

	@Test
	void dropsMessagesToNobodyAndGoesOn() throws InterruptedException {
		this.first.send(freeAddress(), new ProbeRequest(1, GossipUpdates.NONE));
		this.first.send(this.secondAddress, new ProbeRequest(2, GossipUpdates.NONE));
		assertThat(next().message()).isEqualTo(new ProbeRequest(2, GossipUpdates.NONE));
	}

	@Test
	void goesOnAfterAListenerThatFailed() throws InterruptedException {
		this.second.listen(JoinRequest.class, (sender, incarnation, address, message) -> {
			throw new IllegalStateException("expected by the test");
		});
		this.first.send(this.secondAddress, new JoinRequest(true, GossipUpdates.NONE));
		assertThat(next()).isNotNull();
		this.first.send(this.secondAddress, new ProbeRequest(2, GossipUpdates.NONE));
		assertThat(next().message()).isEqualTo(new ProbeRequest(2, GossipUpdates.NONE));
	}

	@Test
	void sendsNothingAfterTheStop() throws InterruptedException {
		this.first.stop().toCompletableFuture().join();
		this.first.send(this.secondAddress, new ProbeRequest(1, GossipUpdates.NONE));
		PeerTransport third = transport(DaemonId.of("third"), 33, freeAddress());
		third.start().toCompletableFuture().join();
		third.send(this.secondAddress, new ProbeRequest(2, GossipUpdates.NONE));
		assertThat(next().sender()).isEqualTo(DaemonId.of("third"));
		assertThat(this.heard).isEmpty();
		third.stop().toCompletableFuture().join();
	}

	@Test
	void leavesItsAddressFreeForTheNextRun() throws InterruptedException {
		for (int run = 0; run < 20; run++) {
			this.first.stop().toCompletableFuture().join();
			this.first = transport(DaemonId.of("first"), 12 + run, this.firstAddress);
			this.first.start().toCompletableFuture().join();
			this.first.send(this.secondAddress, new ProbeRequest(run, GossipUpdates.NONE));
			assertThat(next().incarnation()).isEqualTo(12 + run);
		}
	}

	@Test
	void sendsWhatWasHandedOverBeforeTheStop() throws InterruptedException {
		this.first.send(this.secondAddress, new ProbeRequest(1, GossipUpdates.NONE));
		this.first.stop().toCompletableFuture().join();
		assertThat(next().message()).isEqualTo(new ProbeRequest(1, GossipUpdates.NONE));
	}

	@Test
	void stopsTwiceWithoutHarm() {
		this.first.stop().toCompletableFuture().join();
		this.first.stop().toCompletableFuture().join();
	}

	/**
	 * A message as it was heard.
	 *
	 * @param sender its sender
	 * @param incarnation number of the sender's run
	 * @param address the sender's address
	 * @param message the message
	 */
	private record Heard(DaemonId sender, long incarnation, NetworkAddress address, PeerMessage message) {

	}

}
