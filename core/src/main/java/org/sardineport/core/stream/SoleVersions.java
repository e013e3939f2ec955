package org.sardineport.core.stream;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.PoolName;

/**
 * Stored statement of the pools in which only one software version has run of late. A
 * pool that is not named may have run several. Immutable.
 *
 * @param revision position of the statement in the store, to replace it only if it is
 * still the newest; 0 if there never was one
 * @param versions the version of each such pool
 */
public record SoleVersions(long revision, Map<PoolName, SoftwareVersion> versions) {

	/** Statement about no pool, before the first one is stored. */
	public static final SoleVersions NONE = new SoleVersions(0, Map.of());

	/**
	 * Creates the statement from a copy of the map.
	 */
	public SoleVersions {
		versions = Map.copyOf(versions);
	}

	/**
	 * Returns whether no statement was ever stored, so that no stream can have begun.
	 * @return whether this is the state before the first one
	 */
	public boolean isInitial() {
		return this.revision == 0;
	}

	/**
	 * Returns the only version of a pool.
	 * @param pool the pool
	 * @return the version, or empty if it may have run several
	 */
	public Optional<SoftwareVersion> version(PoolName pool) {
		return Optional.ofNullable(this.versions.get(Objects.requireNonNull(pool, "pool must not be null")));
	}

}
