package org.sardineport.core.rollout;

import java.util.Objects;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.SoftwareVersion;

/**
 * Which software versions of a pool take new work. Immutable.
 */
public final class VersionGate {

	/** Gate through which every version takes work. */
	public static final VersionGate OPEN = new VersionGate(null, RolloutPhase.COMPLETE, 0, 0, Set.of());

	private final @Nullable SoftwareVersion target;

	private final RolloutPhase phase;

	private final int canaryServers;

	private final long revision;

	private final Set<SoftwareVersion> closed;

	private VersionGate(@Nullable SoftwareVersion target, RolloutPhase phase, int canaryServers, long revision,
			Set<SoftwareVersion> closed) {
		this.target = target;
		this.phase = phase;
		this.canaryServers = canaryServers;
		this.revision = revision;
		this.closed = Set.copyOf(closed);
	}

	static VersionGate of(RolloutOrder order, RolloutPhase phase, int canaryServers) {
		return new VersionGate(order.target(), phase, (phase == RolloutPhase.CANARY) ? canaryServers : 0,
				order.revision(), Set.of());
	}

	/**
	 * Returns this gate, closed for some versions whatever the rollout says.
	 * @param versions the versions
	 * @return the gate
	 */
	public VersionGate closedFor(Set<SoftwareVersion> versions) {
		return versions.equals(this.closed) ? this
				: new VersionGate(this.target, this.phase, this.canaryServers, this.revision, versions);
	}

	/**
	 * Returns whether a version takes requests that are not bound to a version.
	 * @param version the version
	 * @return whether it does
	 */
	public boolean takesUnbound(SoftwareVersion version) {
		if (this.closed.contains(version)) {
			return false;
		}
		return this.target == null || this.phase.takesUnbound(version.equals(this.target));
	}

	/**
	 * Returns whether a version takes requests that are bound to it.
	 * @param version the version
	 * @return whether it does
	 */
	public boolean takesBound(SoftwareVersion version) {
		if (this.closed.contains(version)) {
			return false;
		}
		return this.target == null || this.phase.takesBound(version.equals(this.target));
	}

	/**
	 * Returns whether a version takes a request.
	 * @param version the version
	 * @param required the version that the request is bound to, or {@code null}
	 * @return whether it does
	 */
	public boolean takes(SoftwareVersion version, @Nullable SoftwareVersion required) {
		return (required != null) ? takesBound(version) : takesUnbound(version);
	}

	/**
	 * Returns how many backend servers of a version share the requests bound to it. Few
	 * of them get as much load from a small share as all would from all requests.
	 * @param version the version
	 * @return the number; 0 for all
	 */
	public int servers(SoftwareVersion version) {
		return version.equals(this.target) ? this.canaryServers : 0;
	}

	/**
	 * Returns the number of the order, by which those backend servers are selected.
	 * @return the number; 0 if there is no order
	 */
	public long revision() {
		return this.revision;
	}

	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof VersionGate that && Objects.equals(this.target, that.target) && this.phase == that.phase
				&& this.canaryServers == that.canaryServers && this.revision == that.revision
				&& this.closed.equals(that.closed);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.target, this.phase, this.canaryServers, this.revision);
	}

	@Override
	public String toString() {
		return "VersionGate[target=%s, phase=%s, servers=%d, closed=%s]".formatted(this.target, this.phase,
				this.canaryServers, this.closed);
	}

}
