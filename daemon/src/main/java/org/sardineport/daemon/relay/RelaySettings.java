package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.relay.CallerCapacity;
import org.sardineport.core.relay.LimitTolerance;
import org.sardineport.core.relay.ProgressLimit;
import org.sardineport.core.rollout.RolloutSettings;
import org.sardineport.core.stop.StopTiming;

/**
 * Settings of a forwarding daemon.
 *
 * @param callerAddress address to which callers connect
 * @param readinessAddress address of the readiness endpoint
 * @param entryAddress address of the endpoint that lists the daemons' caller addresses
 * @param metricsAddress address of the metrics endpoint
 * @param keepTime time for which callers may cache the listed addresses
 * @param proofLifetime time for which a read of the configuration proves that no key has
 * been revoked
 * @param limitTolerance tolerated excess over organisations' limits
 * @param retryRatio retries that the fleet may make per request
 * @param retrySlack retries that the fleet may make in addition
 * @param retryWindow window over which requests and retries are counted
 * @param stop timing of a planned stop
 * @param callerCapacity what the daemon may hold for callers
 * @param progressLimit minimum rate at which callers send bodies and read responses
 * @param rollouts limits for rollouts; {@code null} if versions are not told apart
 */
public record RelaySettings(NetworkAddress callerAddress, NetworkAddress readinessAddress, NetworkAddress entryAddress,
		NetworkAddress metricsAddress, Duration keepTime, Duration proofLifetime, LimitTolerance limitTolerance,
		double retryRatio, int retrySlack, Duration retryWindow, StopTiming stop, CallerCapacity callerCapacity,
		ProgressLimit progressLimit, @Nullable RolloutSettings rollouts) {

	/**
	 * Creates the settings, all of which are required.
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
		Objects.requireNonNull(callerCapacity, "callerCapacity must not be null");
		Objects.requireNonNull(progressLimit, "progressLimit must not be null");
	}

}
