package org.sardineport.core.journal;

import java.time.Instant;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;

/**
 * A run that a daemon started and left behind.
 *
 * @param claim the claim under which it runs
 * @param backendServer where it runs
 * @param streamId identity of the engine's stream
 * @param deadline until when its answer is wanted
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
