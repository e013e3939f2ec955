package org.sardineport.core.membership;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.BackendServerId;

/**
 * Update about a backend server that has reported that it is leaving.
 *
 * @param process the process; with an unknown start, any of the backend server
 * @param age time since that report
 */
public record LeavingUpdate(BackendProcess process, Duration age) {

	/**
	 * Creates the update.
	 * @throws IllegalArgumentException if the age is negative
	 */
	public LeavingUpdate {
		Objects.requireNonNull(process, "process must not be null");
		if (age.isNegative()) {
			throw new IllegalArgumentException("age must not be negative, found %s".formatted(age));
		}
	}

	/**
	 * Returns an update about a backend server of which only the name is known.
	 * @param server the backend server
	 * @param age time since its report
	 * @return the update
	 */
	public static LeavingUpdate ofAnyProcess(BackendServerId server, Duration age) {
		return new LeavingUpdate(new BackendProcess(server, BackendServer.START_UNKNOWN), age);
	}

	/**
	 * Returns whether the start of the process is known.
	 * @return {@code false} if the update is about any process of the backend server
	 */
	public boolean isProcessKnown() {
		return !this.process.startedAt().equals(BackendServer.START_UNKNOWN);
	}

}
