package org.sardineport.core.membership;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;

/**
 * Update about a backend server that has reported that it is leaving.
 *
 * @param backendServer the backend server
 * @param age time since that report
 */
public record LeavingUpdate(BackendServerId backendServer, Duration age) {

	/**
	 * Creates the update.
	 * @throws IllegalArgumentException if the age is negative
	 */
	public LeavingUpdate {
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		if (age.isNegative()) {
			throw new IllegalArgumentException("age must not be negative, found %s".formatted(age));
		}
	}

}
