package org.sardineport.standins.vm;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.platform.VmList;
import org.sardineport.core.port.platform.VmListException;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.core.port.platform.VmState;
import org.sardineport.standins.http.JsonResponses;
import org.sardineport.standins.http.StandInServer;

/**
 * Fake of the platform's list of VMs, which can lag behind the truth by a fixed time.
 * Serves the list over HTTP while it is started, and in memory at any time. Thread-safe.
 */
public final class VmListStandIn implements VmList, Service {

	private static final int STATUS_OK = 200;

	private static final int STATUS_NOT_FOUND = 404;

	private static final int STATUS_UNAVAILABLE = 503;

	private final StandInServer server;

	private final InstantSource clock;

	private final Map<NetworkAddress, VmState> entryVms = new LinkedHashMap<>();

	private final Map<BackendServerId, VmListJson.BackendJson> backendServers = new LinkedHashMap<>();

	private final Deque<Version> versions = new ArrayDeque<>();

	private Duration lag = Duration.ZERO;

	private boolean unavailable;

	private VmListStandIn(Vertx vertx, InstantSource clock) {
		this.server = StandInServer.create(vertx, this::handle);
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		recordVersion();
	}

	/**
	 * Creates an empty list whose HTTP server has not been started.
	 * @param vertx runs the HTTP server
	 * @param clock source of the platform's time
	 * @return the list
	 */
	public static VmListStandIn create(Vertx vertx, InstantSource clock) {
		return new VmListStandIn(vertx, clock);
	}

	@Override
	public CompletionStage<Void> start() {
		return this.server.start();
	}

	@Override
	public CompletionStage<Void> stop() {
		return this.server.stop();
	}

	@Override
	public synchronized CompletionStage<VmListing> fetch() {
		if (this.unavailable) {
			return CompletableFuture.failedStage(VmListException.of("in-memory list of VMs",
					new IllegalStateException("made unavailable by the test")));
		}
		return CompletableFuture.completedStage(visibleList().toListing());
	}

	/**
	 * Returns the address at which the list is served. Valid after the start.
	 * @return the loopback address
	 */
	public NetworkAddress address() {
		return this.server.address();
	}

	/**
	 * Adds an entry VM, or changes its state.
	 * @param peerAddress address at which its daemon listens for other daemons
	 * @param state state of the VM
	 */
	public synchronized void putEntryVm(NetworkAddress peerAddress, VmState state) {
		this.entryVms.put(peerAddress, state);
		recordVersion();
	}

	/**
	 * Adds a backend server, or replaces the entry of the same id.
	 * @param backendServer the backend server
	 * @param state state of its VM
	 */
	public synchronized void putBackendServer(BackendServer backendServer, VmState state) {
		this.backendServers.put(backendServer.id(), VmListJson.BackendJson.of(backendServer, state));
		recordVersion();
	}

	/**
	 * Removes an entry VM. Has no effect if it is not listed.
	 * @param peerAddress peer address of its daemon
	 */
	public synchronized void removeEntryVm(NetworkAddress peerAddress) {
		this.entryVms.remove(peerAddress);
		recordVersion();
	}

	/**
	 * Removes a backend server. Has no effect if it is not listed.
	 * @param id id of the backend server
	 */
	public synchronized void removeBackendServer(BackendServerId id) {
		this.backendServers.remove(id);
		recordVersion();
	}

	/**
	 * Sets the time after which a change shows in the list.
	 * @param newLag the time
	 */
	public synchronized void setLag(Duration newLag) {
		this.lag = Objects.requireNonNull(newLag, "newLag must not be null");
	}

	/**
	 * Sets whether the list is unavailable.
	 * @param isUnavailable whether HTTP requests are rejected with status 503 and
	 * {@link #fetch()} fails
	 */
	public synchronized void setUnavailable(boolean isUnavailable) {
		this.unavailable = isUnavailable;
	}

	private void recordVersion() {
		List<VmListJson.EntryVmJson> vms = this.entryVms.entrySet()
			.stream()
			.map((vm) -> new VmListJson.EntryVmJson(vm.getKey().toString(), vm.getValue()))
			.toList();
		Instant now = this.clock.instant();
		this.versions
			.add(new Version(now, new VmListJson(now.toString(), vms, List.copyOf(this.backendServers.values()))));
	}

	private synchronized VmListJson visibleList() {
		Instant visibleUntil = this.clock.instant().minus(this.lag);
		while (this.versions.size() > 1 && !isSecondVersionAfter(visibleUntil)) {
			this.versions.removeFirst();
		}
		VmListJson list = this.versions.getFirst().list();
		return new VmListJson(visibleUntil.toString(), list.entryVms(), list.backendServers());
	}

	private boolean isSecondVersionAfter(Instant time) {
		return this.versions.stream().skip(1).findFirst().orElseThrow().since().isAfter(time);
	}

	private synchronized boolean isUnavailable() {
		return this.unavailable;
	}

	private void handle(HttpServerRequest request) {
		if (isUnavailable()) {
			JsonResponses.status(request.response(), STATUS_UNAVAILABLE);
		}
		else if (request.path().equals("/v1/vms")) {
			JsonResponses.json(request.response(), STATUS_OK, visibleList());
		}
		else {
			JsonResponses.status(request.response(), STATUS_NOT_FOUND);
		}
	}

	/**
	 * Contents of the list from a time on.
	 *
	 * @param since time of the change that led to this version
	 * @param list the contents
	 */
	private record Version(Instant since, VmListJson list) {

	}

}
