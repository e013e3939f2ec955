package org.sardineport.core.fleet;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

/**
 * A daemon of the fleet.
 *
 * @param id its name
 * @param incarnation grows each time the process starts or refutes a suspicion
 * @param status what is held true of it
 * @param failureDomain where it is
 * @param peerAddress where daemons reach it
 * @param callerAddress where callers reach it
 * @param configurationVersion the version in force there, as last heard
 * @param load share of its capacity in use, 0 to 100, as last heard
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

	// Written out for the reason that the package core.identity gives.
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
