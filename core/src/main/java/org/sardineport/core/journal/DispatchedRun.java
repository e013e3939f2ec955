package org.sardineport.core.journal;

import java.time.Instant;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;

/**
 * Run that was dispatched by a daemon that has since failed.
 *
 * @param claim claim under which the request was dispatched
 * @param backendServer backend server that runs it
 * @param streamId identifier of the engine's stream
 * @param deadline time by which its answer is needed
 */
public record DispatchedRun(JournalClaim claim, BackendServerId backendServer, String streamId, Instant deadline) {

	/**
	 * Creates the run.
	 */
	public DispatchedRun {
		Objects.requireNonNull(claim, "claim must not be null");
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(streamId, "streamId must not be null");
		Objects.requireNonNull(deadline, "deadline must not be null");
	}

}
