package org.sardineport.daemon.placeholder;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.platform.VmList;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.core.port.platform.VmState;
import org.sardineport.settings.DaemonSettings;

/**
 * A fleet of this daemon alone, with the backend servers of the platform's list.
 */
public final class SingleFleet implements FleetView, Service {

	private final Vertx vertx;

	private final VmList vmList;

	private final Member self;

	private final long fetchMillis;

	private final List<Consumer<FleetSnapshot>> listeners = new CopyOnWriteArrayList<>();

	private volatile FleetSnapshot snapshot;

	private SingleFleet(Vertx vertx, DaemonSettings settings, long incarnation, VmList vmList) {
		this.vertx = vertx;
		this.vmList = vmList;
		this.self = new Member(settings.daemon(), incarnation, MemberStatus.ALIVE, settings.failureDomain(),
				settings.peerAddress(), settings.callerAddress(), 0, 0);
		this.fetchMillis = settings.membership().vmListInterval().toMillis();
		this.snapshot = new FleetSnapshot(this.self.id(), List.of(this.self), List.of());
	}

	/**
	 * Returns the fleet.
	 * @param vertx gives timers
	 * @param settings settings of this daemon
	 * @param incarnation incarnation of this daemon
	 * @param vmList the platform's list
	 * @return the fleet
	 */
	public static SingleFleet create(Vertx vertx, DaemonSettings settings, long incarnation, VmList vmList) {
		return new SingleFleet(vertx, settings, incarnation, vmList);
	}

	@Override
	public CompletionStage<Void> start() {
		fetch();
		this.vertx.setPeriodic(this.fetchMillis, (id) -> fetch());
		return CompletableFuture.completedStage(null);
	}

	@Override
	public CompletionStage<Void> stop() {
		return CompletableFuture.completedStage(null);
	}

	@Override
	public FleetSnapshot current() {
		return this.snapshot;
	}

	@Override
	public void listen(Consumer<FleetSnapshot> listener) {
		this.listeners.add(listener);
	}

	private void fetch() {
		this.vmList.fetch().thenAccept(this::accept);
	}

	private void accept(VmListing listing) {
		List<BackendServer> servers = listing.backendServers()
			.stream()
			.filter((listed) -> listed.state() == VmState.LIVE)
			.map(VmListing.ListedBackend::server)
			.toList();
		this.snapshot = new FleetSnapshot(this.self.id(), List.of(this.self), servers);
		this.listeners.forEach((listener) -> listener.accept(this.snapshot));
	}

}
