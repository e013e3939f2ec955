package org.sardineport.daemon.relay;

import java.time.InstantSource;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.vertx.core.Vertx;
import org.sardineport.core.admission.RequestScheduler;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.relay.ConfigurationInForce;
import org.sardineport.core.relay.LimitTolerance;
import org.sardineport.core.relay.RelayGate;
import org.sardineport.core.relay.RetryAllowance;
import org.sardineport.core.relay.ReturnTimes;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * What each forwarded request works with.
 *
 * @param vertx carries input and output, on one event loop
 * @param protocol names and formats of the wire
 * @param gate lets requests in
 * @param inForce the configuration
 * @param scheduler decides when and where requests run
 * @param fleet the daemons and backend servers
 * @param connections connections to backend servers
 * @param limits widens limits by what the operators tolerate
 * @param retries this daemon's part of the fleet's retries
 * @param clock a steady clock
 * @param random source of randomness
 * @param returns tells refused callers when to come back
 * @param ids gives identities by which the scheduler knows attempts
 * @param telemetry counts and times
 */
record RelayServices(Vertx vertx, RelayProtocol protocol, RelayGate gate, ConfigurationInForce inForce,
		RequestScheduler scheduler, FleetView fleet, BackendConnections connections, LimitTolerance limits,
		RetryAllowance retries, InstantSource clock, RandomGenerator random, ReturnTimes returns,
		Supplier<RequestId> ids, Telemetry telemetry) {

}
