package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.relay.LimitTolerance;
import org.sardineport.core.stop.StopTiming;

/**
 * Settings of forwarding.
 *
 * @param callerAddress where callers connect
 * @param readinessAddress where readiness is asked for
 * @param entryAddress where callers ask for addresses
 * @param metricsAddress where metrics are read
 * @param keepTime time for which callers may keep addresses
 * @param proofLifetime time for which a read of the configuration proves that no key was
 * taken away
 * @param limitTolerance by how much organisations may exceed their limits
 * @param retryRatio retries that the fleet may make for each request
 * @param retrySlack retries that the fleet may make besides
 * @param retryWindow window in which both are counted
 * @param stop times of a planned stop
 */
public record RelaySettings(NetworkAddress callerAddress, NetworkAddress readinessAddress, NetworkAddress entryAddress,
		NetworkAddress metricsAddress, Duration keepTime, Duration proofLifetime, LimitTolerance limitTolerance,
		double retryRatio, int retrySlack, Duration retryWindow, StopTiming stop) {

	/**
	 * Creates the settings.
	 */
	public RelaySettings {
		Objects.requireNonNull(callerAddress, "callerAddress must not be null");
		Objects.requireNonNull(readinessAddress, "readinessAddress must not be null");
		Objects.requireNonNull(entryAddress, "entryAddress must not be null");
		Objects.requireNonNull(metricsAddress, "metricsAddress must not be null");
		Objects.requireNonNull(keepTime, "keepTime must not be null");
		Objects.requireNonNull(proofLifetime, "proofLifetime must not be null");
		Objects.requireNonNull(limitTolerance, "limitTolerance must not be null");
		Objects.requireNonNull(retryWindow, "retryWindow must not be null");
		Objects.requireNonNull(stop, "stop must not be null");
	}

}
