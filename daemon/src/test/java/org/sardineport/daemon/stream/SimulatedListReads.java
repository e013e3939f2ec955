package org.sardineport.daemon.stream;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.fleet.ListRead;
import org.sardineport.core.fleet.ListReads;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.core.port.platform.VmState;

/**
 * Reads of a list with one server of each of some versions. Thread-safe.
 */
final class SimulatedListReads implements ListReads {

	private final List<Consumer<ListRead>> listeners = new CopyOnWriteArrayList<>();

	private final InstantSource clock;

	private volatile ListRead last = ListRead.NONE;

	private volatile ListRead next = ListRead.NONE;

	SimulatedListReads(InstantSource clock) {
		this.clock = clock;
	}

	/** Tells all listeners of a read that has been made. */
	void read(SoftwareVersion... versions) {
		ListRead read = listing(versions);
		this.last = read;
		this.listeners.forEach((listener) -> listener.accept(read));
	}

	/** Sets the result of the reads that are waited for. */
	void answerWith(SoftwareVersion... versions) {
		this.next = listing(versions);
	}

	private ListRead listing(SoftwareVersion... versions) {
		List<VmListing.ListedBackend> servers = new ArrayList<>();
		for (SoftwareVersion version : versions) {
			BackendServer server = new BackendServer(BackendServerId.of("server-" + version), BackendKind.MODEL_ENGINE,
					PoolName.of("pool"), FailureDomain.of("d0"), NetworkAddress.of("10.0.0.2", 1 + servers.size()), 4)
				.withSoftwareVersion(version);
			servers.add(new VmListing.ListedBackend(server, VmState.LIVE));
		}
		return ListRead.of(this.clock.instant(), new VmListing(Instant.EPOCH, List.of(), servers));
	}

	@Override
	public ListRead last() {
		return this.last;
	}

	@Override
	public CompletableFuture<ListRead> since(Instant time) {
		ListRead answer = this.next;
		return (answer != ListRead.NONE) ? CompletableFuture.completedFuture(answer) : new CompletableFuture<>();
	}

	@Override
	public void addListener(Consumer<ListRead> listener) {
		this.listeners.add(listener);
	}

	@Override
	public void readSoon() {
	}

}
