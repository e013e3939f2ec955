package org.sardineport.core.fleet;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

/**
 * State of a daemon of the fleet, as reported by itself or known to others.
 *
 * @param id name of the daemon
 * @param incarnation number that increases each time the process starts or refutes a
 * suspicion
 * @param status whether it is alive, suspected, leaving or dead
 * @param failureDomain failure domain that it runs in
 * @param peerAddress address for messages between daemons
 * @param callerAddress address for requests of callers
 * @param configurationVersion version of the configuration in force there, as last
 * reported
 * @param load share of its capacity in use, 0 to 100, as last reported
 */
public record Member(DaemonId id, long incarnation, MemberStatus status, FailureDomain failureDomain,
		NetworkAddress peerAddress, NetworkAddress callerAddress, long configurationVersion, int load) {

	/**
	 * Creates the member.
	 */
	public Member {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(status, "status must not be null");
		Objects.requireNonNull(failureDomain, "failureDomain must not be null");
		Objects.requireNonNull(peerAddress, "peerAddress must not be null");
		Objects.requireNonNull(callerAddress, "callerAddress must not be null");
	}

	// Written out for faster start-up, see the package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof Member that && this.incarnation == that.incarnation
				&& this.configurationVersion == that.configurationVersion && this.load == that.load
				&& this.status == that.status && this.id.equals(that.id)
				&& this.failureDomain.equals(that.failureDomain) && this.peerAddress.equals(that.peerAddress)
				&& this.callerAddress.equals(that.callerAddress);
	}

	@Override
	public int hashCode() {
		return 31 * this.id.hashCode() + Long.hashCode(this.incarnation);
	}

}
