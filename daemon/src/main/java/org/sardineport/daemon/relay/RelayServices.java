package org.sardineport.daemon.relay;

import java.time.InstantSource;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.vertx.core.Vertx;
import org.sardineport.core.admission.RequestScheduler;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.relay.CallerMemory;
import org.sardineport.core.relay.ConfigurationInForce;
import org.sardineport.core.relay.ConfirmedEnds;
import org.sardineport.core.relay.FleetRetryBudget;
import org.sardineport.core.relay.LimitTolerance;
import org.sardineport.core.relay.ProgressLimit;
import org.sardineport.core.relay.RelayAdmissionCheck;
import org.sardineport.core.relay.RetryDelays;
import org.sardineport.daemon.rollout.RolloutService;
import org.sardineport.daemon.stream.StreamOriginService;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Collaborators shared by all forwarded requests.
 *
 * @param vertx performs input and output, on one event loop
 * @param protocol header names and body formats of callers and backend servers
 * @param gate admits requests
 * @param inForce the configuration in force
 * @param scheduler decides when and where requests run
 * @param fleet view of the daemons and backend servers
 * @param connections connection pool for backend servers
 * @param crashes detects crashes of backend servers
 * @param limitTolerance tolerated excess over organisations' limits
 * @param retryAllowance this daemon's share of the fleet's retry budget
 * @param clock a monotonic clock
 * @param random source of randomness
 * @param returnTimes chooses the retry delay of refused callers
 * @param schedulingIds generates identities of scheduling requests
 * @param telemetry counters and timers
 * @param origins knows which software version began a stream
 * @param statedLimits records the limits that backend servers state
 * @param notices what backend servers say about new requests
 * @param callerMemory account of the memory held for callers
 * @param progressLimit minimum rate of callers
 * @param stop decides which requests may run during a planned stop
 * @param liveness tells how responses ended that end with their connection
 * @param confirmedEnds which processes end streams without stating it only when whole
 * @param rollouts which software versions take new work
 * @param overload measures whether this daemon is short of processor time
 * @param passes tells whether disconnections of callers are known
 */
record RelayServices(Vertx vertx, RelayProtocol protocol, RelayAdmissionCheck gate, ConfigurationInForce inForce,
		RequestScheduler scheduler, FleetView fleet, BackendConnections connections, CrashDetector crashes,
		LimitTolerance limitTolerance, FleetRetryBudget retryAllowance, InstantSource clock, RandomGenerator random,
		RetryDelays returnTimes, Supplier<RequestId> schedulingIds, Telemetry telemetry, StreamOriginService origins,
		StatedLimitsRecorder statedLimits, BackendNotices notices, CallerMemory callerMemory,
		ProgressLimit progressLimit, StopAdmission stop, ProcessLiveness liveness, ConfirmedEnds confirmedEnds,
		RolloutService rollouts, OverloadMeter overload, LoopPasses passes) {

}
