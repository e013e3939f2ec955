package org.sardineport.daemon.relay;

import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.sardineport.core.stop.StopTiming;
import org.sardineport.daemon.fleet.FleetService;
import org.sardineport.daemon.stop.StopActions;
import org.sardineport.daemon.tunnel.TunnelServer;

/**
 * Steps of the planned stop of a forwarding daemon. Without a journal, there is nothing
 * to flush.
 */
final class RelayStopActions implements StopActions {

	private final FleetService fleet;

	private final RelayServer server;

	private final TunnelServer tunnels;

	private final RelayReadiness readiness;

	private final StopTiming timing;

	private final InstantSource clock;

	RelayStopActions(FleetService fleet, RelayServer server, TunnelServer tunnels, RelayReadiness readiness,
			StopTiming timing, InstantSource clock) {
		this.fleet = fleet;
		this.server = server;
		this.tunnels = tunnels;
		this.readiness = readiness;
		this.timing = timing;
		this.clock = clock;
	}

	@Override
	public boolean hasNeverServed() {
		return !this.server.hasServed() && this.tunnels.carried() == 0;
	}

	@Override
	public CompletionStage<Void> announce() {
		this.readiness.stopping();
		this.server.stopping(this.timing.isLimited() ? this.clock.instant().plus(this.timing.limit()) : null);
		return this.fleet.leave();
	}

	@Override
	public void refuseNewRequests() {
		this.server.refuseNewRequests();
	}

	@Override
	public int inFlight() {
		return this.server.inFlight() + this.tunnels.carried();
	}

	@Override
	public CompletionStage<Void> flush() {
		return CompletableFuture.completedStage(null);
	}

}
