package org.sardineport.core.scheduling;

import java.util.Objects;

import org.sardineport.core.routing.ServerState;

/**
 * Message from owner to entries with recent permit requests: reports the state of a
 * backend server.
 *
 * @param state state of the backend server known to its owner
 */
public record ServerDigest(ServerState state) implements SchedulingMessage {

	/**
	 * Creates the record.
	 */
	public ServerDigest {
		Objects.requireNonNull(state, "state must not be null");
	}

}
