package org.sardineport.core.capacity;

import java.util.Objects;

/**
 * Change of the learned capacity of a backend server.
 *
 * @param from concurrent requests before the change
 * @param to concurrent requests from now on
 * @param reason why it changed
 */
public record CapacityChange(int from, int to, CapacityReason reason) {

	/**
	 * Creates the record.
	 */
	public CapacityChange {
		Objects.requireNonNull(reason, "reason must not be null");
	}

}
