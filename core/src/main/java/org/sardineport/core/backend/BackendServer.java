package org.sardineport.core.backend;

import java.time.Instant;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;

/**
 * One backend server as the platform lists it.
 *
 * @param id its name
 * @param kind what it is
 * @param pool the pool it serves
 * @param failureDomain where it is
 * @param address where it listens
 * @param nominalConcurrency requests it is meant to run at once, at least 1
 * @param startedAt when its process started, which tells two processes under one name
 * apart; {@link #START_UNKNOWN} if the platform does not say
 */
public record BackendServer(BackendServerId id, BackendKind kind, PoolName pool, FailureDomain failureDomain,
		NetworkAddress address, int nominalConcurrency, Instant startedAt) {

	/** Start of a process of which the platform does not say when it started. */
	public static final Instant START_UNKNOWN = Instant.EPOCH;

	/**
	 * Creates the backend server.
	 * @throws IllegalArgumentException if the concurrency is less than 1
	 */
	public BackendServer {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(pool, "pool must not be null");
		Objects.requireNonNull(failureDomain, "failureDomain must not be null");
		Objects.requireNonNull(address, "address must not be null");
		Objects.requireNonNull(startedAt, "startedAt must not be null");
		if (nominalConcurrency < 1) {
			throw new IllegalArgumentException(
					"nominalConcurrency must be at least 1, found %d".formatted(nominalConcurrency));
		}
	}

	/**
	 * Creates a backend server of which it is not known when it started.
	 * @param id its name
	 * @param kind what it is
	 * @param pool the pool it serves
	 * @param failureDomain where it is
	 * @param address where it listens
	 * @param nominalConcurrency requests it is meant to run at once, at least 1
	 */
	public BackendServer(BackendServerId id, BackendKind kind, PoolName pool, FailureDomain failureDomain,
			NetworkAddress address, int nominalConcurrency) {
		this(id, kind, pool, failureDomain, address, nominalConcurrency, START_UNKNOWN);
	}

	// Written out for the reason that the package core.identity gives.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof BackendServer that && this.nominalConcurrency == that.nominalConcurrency
				&& this.kind == that.kind && this.id.equals(that.id) && this.pool.equals(that.pool)
				&& this.failureDomain.equals(that.failureDomain) && this.address.equals(that.address)
				&& this.startedAt.equals(that.startedAt);
	}

	@Override
	public int hashCode() {
		return 31 * this.id.hashCode() + this.startedAt.hashCode();
	}

	/**
	 * Returns whether another process runs under the name than before.
	 * @param former what was known under the same name
	 * @return whether it has started since, so that nothing learned of it holds
	 */
	public boolean isRestartOf(BackendServer former) {
		return this.id.equals(former.id) && !this.startedAt.equals(former.startedAt);
	}

}
