package org.sardineport.core.backend;

import java.time.Instant;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;

/**
 * Backend server as listed by the platform.
 *
 * @param id name of the backend server
 * @param kind kind of the backend server
 * @param pool the pool it serves
 * @param failureDomain failure domain in which it runs
 * @param address address on which it listens
 * @param nominalConcurrency number of requests it is designed to run concurrently, at
 * least 1
 * @param startedAt start time of its process, which distinguishes successive processes
 * with the same name; {@link #START_UNKNOWN} if the platform does not report it
 * @param softwareVersion version of its software; {@link SoftwareVersion#UNKNOWN} if the
 * platform does not report it
 */
public record BackendServer(BackendServerId id, BackendKind kind, PoolName pool, FailureDomain failureDomain,
		NetworkAddress address, int nominalConcurrency, Instant startedAt, SoftwareVersion softwareVersion) {

	/** Placeholder for a start time that the platform does not report. */
	public static final Instant START_UNKNOWN = Instant.EPOCH;

	/**
	 * Validates the values.
	 * @throws IllegalArgumentException if the concurrency is less than 1
	 */
	public BackendServer {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(pool, "pool must not be null");
		Objects.requireNonNull(failureDomain, "failureDomain must not be null");
		Objects.requireNonNull(address, "address must not be null");
		Objects.requireNonNull(startedAt, "startedAt must not be null");
		Objects.requireNonNull(softwareVersion, "softwareVersion must not be null");
		if (nominalConcurrency < 1) {
			throw new IllegalArgumentException(
					"nominalConcurrency must be at least 1, found %d".formatted(nominalConcurrency));
		}
	}

	/**
	 * Creates a backend server with an unknown software version.
	 * @param id name of the backend server
	 * @param kind kind of the backend server
	 * @param pool the pool it serves
	 * @param failureDomain failure domain in which it runs
	 * @param address address on which it listens
	 * @param nominalConcurrency number of requests it is designed to run concurrently, at
	 * least 1
	 * @param startedAt start time of its process; {@link #START_UNKNOWN} if unknown
	 */
	public BackendServer(BackendServerId id, BackendKind kind, PoolName pool, FailureDomain failureDomain,
			NetworkAddress address, int nominalConcurrency, Instant startedAt) {
		this(id, kind, pool, failureDomain, address, nominalConcurrency, startedAt, SoftwareVersion.UNKNOWN);
	}

	/**
	 * Creates a backend server with an unknown start time and software version.
	 * @param id name of the backend server
	 * @param kind kind of the backend server
	 * @param pool the pool it serves
	 * @param failureDomain failure domain in which it runs
	 * @param address address on which it listens
	 * @param nominalConcurrency number of requests it is designed to run concurrently, at
	 * least 1
	 */
	public BackendServer(BackendServerId id, BackendKind kind, PoolName pool, FailureDomain failureDomain,
			NetworkAddress address, int nominalConcurrency) {
		this(id, kind, pool, failureDomain, address, nominalConcurrency, START_UNKNOWN);
	}

	// Explicit for faster start-up, see the documentation of package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof BackendServer that && this.nominalConcurrency == that.nominalConcurrency
				&& this.kind == that.kind && this.id.equals(that.id) && this.pool.equals(that.pool)
				&& this.failureDomain.equals(that.failureDomain) && this.address.equals(that.address)
				&& this.startedAt.equals(that.startedAt) && this.softwareVersion.equals(that.softwareVersion);
	}

	@Override
	public int hashCode() {
		return 31 * this.id.hashCode() + this.startedAt.hashCode();
	}

	/**
	 * Returns this listing with another software version.
	 * @param version the software version
	 * @return a copy
	 */
	public BackendServer withSoftwareVersion(SoftwareVersion version) {
		return new BackendServer(this.id, this.kind, this.pool, this.failureDomain, this.address,
				this.nominalConcurrency, this.startedAt, version);
	}

	/**
	 * Returns the identity of its current process.
	 * @return the process
	 */
	public BackendProcess process() {
		return new BackendProcess(this.id, this.startedAt);
	}

	/**
	 * Returns whether this is a new process of a backend server that was known before.
	 * @param former earlier listing to compare with
	 * @return whether the names are equal, and the start times or the software versions
	 * differ; state learned about the former process is then invalid
	 */
	public boolean isRestartOf(BackendServer former) {
		return this.id.equals(former.id)
				&& !(this.startedAt.equals(former.startedAt) && this.softwareVersion.equals(former.softwareVersion));
	}

}
