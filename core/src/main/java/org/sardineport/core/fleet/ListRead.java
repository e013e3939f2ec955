package org.sardineport.core.fleet;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.port.platform.VmListing;

/**
 * One successful read of the VM list, with the time at which it began. Immutable.
 */
public final class ListRead {

	/** Placeholder before the first read. */
	public static final ListRead NONE = new ListRead(Instant.MIN, Map.of());

	private final Instant startedAt;

	private final Map<BackendServerId, BackendServer> servers;

	private ListRead(Instant startedAt, Map<BackendServerId, BackendServer> servers) {
		this.startedAt = startedAt;
		this.servers = Map.copyOf(servers);
	}

	/**
	 * Returns a read.
	 * @param startedAt time at which the read began, by a monotonic clock
	 * @param listing the result
	 * @return the read
	 */
	public static ListRead of(Instant startedAt, VmListing listing) {
		Objects.requireNonNull(startedAt, "startedAt must not be null");
		Map<BackendServerId, BackendServer> servers = new HashMap<>();
		listing.backendServers().forEach((listed) -> servers.put(listed.server().id(), listed.server()));
		return new ListRead(startedAt, servers);
	}

	/**
	 * Returns whether the read began at a time or later.
	 * @param time the time
	 * @return whether it did
	 */
	public boolean beganSince(Instant time) {
		return !this.startedAt.isBefore(time);
	}

	/**
	 * Returns all backend servers that the list showed, live or leaving.
	 * @return the backend servers
	 */
	public Collection<BackendServer> servers() {
		return this.servers.values();
	}

	/**
	 * Returns the only software version of a pool.
	 * @param pool the pool
	 * @return the version, or empty if the list showed several, or no server of the pool
	 */
	public Optional<SoftwareVersion> soleVersion(PoolName pool) {
		Set<SoftwareVersion> versions = new HashSet<>();
		this.servers.values()
			.stream()
			.filter((server) -> server.pool().equals(pool))
			.forEach((server) -> versions.add(server.softwareVersion()));
		return (versions.size() == 1) ? Optional.of(versions.iterator().next()) : Optional.empty();
	}

	/**
	 * Returns whether the list showed a backend server with the same software version,
	 * live or leaving.
	 * @param server the backend server as listed earlier
	 * @return whether the version under its name was the same
	 */
	public boolean showsVersion(BackendServer server) {
		BackendServer listed = this.servers.get(server.id());
		return listed != null && listed.softwareVersion().equals(server.softwareVersion());
	}

	/**
	 * Returns whether the list showed another software version under the name of a
	 * backend server. A server that is not listed may have left and still be serving.
	 * @param server the backend server as listed earlier
	 * @return whether it was listed with another version
	 */
	public boolean showsOtherVersion(BackendServer server) {
		BackendServer listed = this.servers.get(server.id());
		return listed != null && !listed.softwareVersion().equals(server.softwareVersion());
	}

	@Override
	public String toString() {
		return "ListRead[startedAt=%s, servers=%d]".formatted(this.startedAt, this.servers.size());
	}

}
