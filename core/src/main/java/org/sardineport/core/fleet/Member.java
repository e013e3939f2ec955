package org.sardineport.core.fleet;

import java.time.Duration;
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
 * @param lateness by how much it is late for what is due, for want of processor time, as
 * last reported
 * @param processorPercent processor time that it may use, in percent of a core; 0 if it
 * is not known
 */
public record Member(DaemonId id, long incarnation, MemberStatus status, FailureDomain failureDomain,
		NetworkAddress peerAddress, NetworkAddress callerAddress, long configurationVersion, int load,
		Duration lateness, int processorPercent) {

	/**
	 * Maximum lateness that is reported, so that a declaration of death is not delayed
	 * for long.
	 */
	public static final Duration MAXIMUM_LATENESS = Duration.ofSeconds(2);

	/**
	 * Creates the member.
	 */
	public Member {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(status, "status must not be null");
		Objects.requireNonNull(failureDomain, "failureDomain must not be null");
		Objects.requireNonNull(peerAddress, "peerAddress must not be null");
		Objects.requireNonNull(callerAddress, "callerAddress must not be null");
		Objects.requireNonNull(lateness, "lateness must not be null");
		if (processorPercent < 0) {
			throw new IllegalArgumentException("processorPercent must not be negative, found " + processorPercent);
		}
	}

	/**
	 * Creates a member that is not late and whose processor time is not known.
	 * @param id name of the daemon
	 * @param incarnation number that increases each time the process starts or refutes a
	 * suspicion
	 * @param status whether it is alive, suspected, leaving or dead
	 * @param failureDomain failure domain that it runs in
	 * @param peerAddress address for messages between daemons
	 * @param callerAddress address for requests of callers
	 * @param configurationVersion version of the configuration in force there
	 * @param load share of its capacity in use, 0 to 100
	 */
	public Member(DaemonId id, long incarnation, MemberStatus status, FailureDomain failureDomain,
			NetworkAddress peerAddress, NetworkAddress callerAddress, long configurationVersion, int load) {
		this(id, incarnation, status, failureDomain, peerAddress, callerAddress, configurationVersion, load,
				Duration.ZERO, 0);
	}

	/**
	 * Returns this member in another status.
	 * @param other the status
	 * @return a copy
	 */
	public Member withStatus(MemberStatus other) {
		return new Member(this.id, this.incarnation, other, this.failureDomain, this.peerAddress, this.callerAddress,
				this.configurationVersion, this.load, this.lateness, this.processorPercent);
	}

	/**
	 * Returns this member with another incarnation.
	 * @param other the incarnation
	 * @return a copy
	 */
	public Member withIncarnation(long other) {
		return new Member(this.id, other, this.status, this.failureDomain, this.peerAddress, this.callerAddress,
				this.configurationVersion, this.load, this.lateness, this.processorPercent);
	}

	/**
	 * Returns this member with other reported values.
	 * @param otherVersion version of the configuration in force there
	 * @param otherLoad share of its capacity in use, 0 to 100
	 * @return a copy
	 */
	public Member withReport(long otherVersion, int otherLoad) {
		return new Member(this.id, this.incarnation, this.status, this.failureDomain, this.peerAddress,
				this.callerAddress, otherVersion, otherLoad, this.lateness, this.processorPercent);
	}

	/**
	 * Returns this member with another lateness.
	 * @param other the lateness
	 * @return a copy
	 */
	public Member withLateness(Duration other) {
		return new Member(this.id, this.incarnation, this.status, this.failureDomain, this.peerAddress,
				this.callerAddress, this.configurationVersion, this.load, other, this.processorPercent);
	}

	/**
	 * Returns this member with another amount of processor time.
	 * @param other the time that it may use, in percent of a core; 0 if it is not known
	 * @return a copy
	 */
	public Member withProcessorPercent(int other) {
		return new Member(this.id, this.incarnation, this.status, this.failureDomain, this.peerAddress,
				this.callerAddress, this.configurationVersion, this.load, this.lateness, other);
	}

	// Written out for faster start-up, see the package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof Member that && this.incarnation == that.incarnation
				&& this.configurationVersion == that.configurationVersion && this.load == that.load
				&& this.processorPercent == that.processorPercent && this.lateness.equals(that.lateness)
				&& this.status == that.status && this.id.equals(that.id)
				&& this.failureDomain.equals(that.failureDomain) && this.peerAddress.equals(that.peerAddress)
				&& this.callerAddress.equals(that.callerAddress);
	}

	@Override
	public int hashCode() {
		return 31 * this.id.hashCode() + Long.hashCode(this.incarnation);
	}

}
