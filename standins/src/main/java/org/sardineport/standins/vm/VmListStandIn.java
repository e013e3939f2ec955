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
 * Stand-in for the platform's list of VMs, which shows what was true some time ago. It
 * serves the list over HTTP once it is started, and in memory at any time. Safe for use
 * by any thread.
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
	 * Returns an empty list that is not served yet.
	 * @param vertx carries input and output
	 * @param clock the platform's time
	 * @return the stand-in
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
			return CompletableFuture.failedStage(
					VmListException.of("list of VMs in memory", new IllegalStateException("it is unavailable")));
		}
		return CompletableFuture.completedStage(visibleList().toListing());
	}

	/**
	 * Returns where the list is served.
	 * @return the address
	 */
	public NetworkAddress address() {
		return this.server.address();
	}

	/**
	 * Lists an entry VM, or changes its state.
	 * @param peerAddress where its daemon is reached by others
	 * @param state its state
	 */
	public synchronized void putEntryVm(NetworkAddress peerAddress, VmState state) {
		this.entryVms.put(peerAddress, state);
		recordVersion();
	}

	/**
	 * Lists a backend server, or changes its state.
	 * @param backendServer the backend server
	 * @param state its state
	 */
	public synchronized void putBackendServer(BackendServer backendServer, VmState state) {
		this.backendServers.put(backendServer.id(), VmListJson.BackendJson.of(backendServer, state));
		recordVersion();
	}

	/**
	 * Takes an entry VM off the list.
	 * @param peerAddress its peer address
	 */
	public synchronized void removeEntryVm(NetworkAddress peerAddress) {
		this.entryVms.remove(peerAddress);
		recordVersion();
	}

	/**
	 * Takes a backend server off the list.
	 * @param id its name
	 */
	public synchronized void removeBackendServer(BackendServerId id) {
		this.backendServers.remove(id);
		recordVersion();
	}

	/**
	 * Sets how far the list lags behind.
	 * @param newLag the lag
	 */
	public synchronized void setLag(Duration newLag) {
		this.lag = Objects.requireNonNull(newLag, "newLag must not be null");
	}

	/**
	 * Sets whether the list can be had at all.
	 * @param isUnavailable whether requests are answered with status 503
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
	 * What became true at some time.
	 */
	private record Version(Instant since, VmListJson list) {

	}

}
