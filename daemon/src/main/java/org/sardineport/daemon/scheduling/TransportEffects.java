package org.sardineport.daemon.scheduling;

import java.util.function.Supplier;

import org.sardineport.core.capacity.CapacityChange;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.core.quarantine.QuarantineEffects;
import org.sardineport.core.request.RetryReason;
import org.sardineport.core.scheduling.PermitRelease;
import org.sardineport.core.scheduling.RequestShareChange;
import org.sardineport.core.scheduling.SchedulingEffects;
import org.sardineport.core.scheduling.SchedulingMessage;
import org.sardineport.core.scheduling.StatedLimitsReport;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Carries out what the scheduler of a daemon decides: sends its messages to other
 * daemons, counts and logs. For use by one thread at a time.
 */
final class TransportEffects implements SchedulingEffects {

	private static final EventLog LOG = EventLog.of(SchedulingService.class);

	private final Supplier<FleetSnapshot> fleet;

	private final PeerTransport transport;

	private final Telemetry telemetry;

	private final QuarantineEffects quarantine;

	/**
	 * Creates the effects of a scheduler.
	 * @param fleet returns the latest view of the fleet, for the addresses of daemons
	 * @param transport carries messages to daemons
	 * @param telemetry registry of the counters
	 * @param quarantine effects of the quarantine
	 */
	TransportEffects(Supplier<FleetSnapshot> fleet, PeerTransport transport, Telemetry telemetry,
			QuarantineEffects quarantine) {
		this.fleet = fleet;
		this.transport = transport;
		this.telemetry = telemetry;
		this.quarantine = quarantine;
	}

	@Override
	public void send(DaemonId to, SchedulingMessage message) {
		this.fleet.get()
			.member(to)
			.map(Member::peerAddress)
			.ifPresentOrElse((address) -> this.transport.send(address, message),
					() -> this.telemetry.counter("scheduling.unknown-daemon").inc());
	}

	@Override
	public void recordRetry(RetryReason reason) {
		this.telemetry.retried(reason).inc();
	}

	@Override
	public void recordStatedLimits(DaemonId reporter, StatedLimitsReport report) {
		this.telemetry.counter("scheduling.limits-applied").inc();
		LOG.info("scheduling.limits-applied", "backend-server", report.process().server(), "started-at",
				report.process().startedAt(), "requests-per-second", report.limits().rate(), "rejections-per-second",
				report.limits().rejectionsLabel(), "reporter", reporter, "age-ms", report.age().toMillis());
	}

	@Override
	public void recordIsolation(DaemonId reporter, PermitRelease release) {
		this.telemetry.counter("scheduling.backends-isolated").inc();
		LOG.info("scheduling.backend-isolated", "backend-server", release.backendServer(), "reporter", reporter, "end",
				release.measurement().end(), "duration-ms", release.measurement().duration().toMillis());
	}

	@Override
	public void recordCapacity(BackendServerId server, CapacityChange change) {
		this.telemetry.counter("scheduling.capacity-changed." + change.reason().label()).inc();
		LOG.info("scheduling.capacity-changed", "backend-server", server, "from", change.from(), "to", change.to(),
				"reason", change.reason().label());
	}

	@Override
	public void recordOwnership(BackendServerId server, boolean owned) {
		LOG.info("scheduling.ownership", "backend-server", server, "owned", owned);
	}

	@Override
	public void recordSilentOwner(DaemonId owner) {
		this.telemetry.counter("scheduling.silent-owners").inc();
		LOG.info("scheduling.owner-silent", "owner", owner);
	}

	@Override
	public void recordRequestShare(RequestShareChange change) {
		this.telemetry.counter("scheduling.request-share-changes").inc();
		LOG.info("scheduling.request-share", "percent", change.percent(), "delay-ms", change.delayMillis());
	}

	@Override
	public QuarantineEffects quarantine() {
		return this.quarantine;
	}

}
