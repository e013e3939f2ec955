package org.sardineport.core.stream;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.PoolName;

/**
 * The software versions that the VM list has shown in each pool of late. Not safe for use
 * by several threads.
 */
public final class VersionHistory {

	/**
	 * Time for which a version counts as present after it was last listed: servers serve
	 * on for a while after they have left the list, and callers come back until their
	 * time limit.
	 */
	public static final Duration RETENTION = Duration.ofSeconds(60);

	private final InstantSource clock;

	private final Map<PoolName, Pool> pools = new HashMap<>();

	private VersionHistory(InstantSource clock) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
	}

	/**
	 * Returns an empty history.
	 * @param clock a steady clock
	 * @return the history
	 */
	public static VersionHistory create(InstantSource clock) {
		return new VersionHistory(clock);
	}

	/**
	 * Records a successful read of the list.
	 * @param servers all backend servers listed, live or leaving
	 */
	public void listed(Collection<BackendServer> servers) {
		Instant now = this.clock.instant();
		for (BackendServer server : servers) {
			this.pools.computeIfAbsent(server.pool(), (name) -> new Pool(now, new HashMap<>()))
				.lastListed()
				.put(server.softwareVersion(), now);
		}
		Instant oldest = now.minus(RETENTION);
		this.pools.values().forEach((pool) -> pool.lastListed().values().removeIf((last) -> last.isBefore(oldest)));
		this.pools.values().removeIf((pool) -> pool.lastListed().isEmpty());
	}

	/**
	 * Returns whether any pool has run several versions of late.
	 * @return whether one has
	 */
	public boolean isMixed() {
		return this.pools.values().stream().anyMatch((pool) -> pool.lastListed().size() > 1);
	}

	/**
	 * Returns whether any pool has run a version of late.
	 * @param version the version
	 * @return whether it was listed
	 */
	public boolean hasListed(SoftwareVersion version) {
		return this.pools.values().stream().anyMatch((pool) -> pool.lastListed().containsKey(version));
	}

	/**
	 * Returns what may be stated about single versions. A version that the stored
	 * statement does not name for its pool must have been observed alone for
	 * {@link #RETENTION}, as this daemon may not have seen another one before.
	 * @param stored the stored statement
	 * @return the only version of each pool that has one
	 */
	public Map<PoolName, SoftwareVersion> soleVersions(SoleVersions stored) {
		Map<PoolName, SoftwareVersion> sole = new HashMap<>(stored.versions());
		this.pools.forEach((name, pool) -> {
			if (isSole(pool, stored, stored.version(name))) {
				sole.put(name, pool.lastListed().keySet().iterator().next());
			}
			else {
				sole.remove(name);
			}
		});
		return sole;
	}

	private boolean isSole(Pool pool, SoleVersions stored, Optional<SoftwareVersion> version) {
		if (pool.lastListed().size() != 1) {
			return false;
		}
		boolean isStored = version.isPresent() && pool.lastListed().containsKey(version.get());
		boolean isObserved = !pool.firstListed().isAfter(this.clock.instant().minus(RETENTION));
		return stored.isInitial() || isStored || isObserved;
	}

	/**
	 * What was listed of one pool.
	 *
	 * @param firstListed time since which it has been listed
	 * @param lastListed when each version was last listed
	 */
	private record Pool(Instant firstListed, Map<SoftwareVersion, Instant> lastListed) {

	}

}
