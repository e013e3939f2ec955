package org.sardineport.core.scheduling;

import java.util.Objects;

import org.sardineport.core.routing.ServerState;

/**
 * Owner to entries that asked lately: state of a backend server.
 *
 * @param state state of the backend server as its owner knows it
 */
public record ServerDigest(ServerState state) implements SchedulingMessage {

	/**
	 * Creates the record.
	 */
	public ServerDigest {
		Objects.requireNonNull(state, "state must not be null");
	}

}
