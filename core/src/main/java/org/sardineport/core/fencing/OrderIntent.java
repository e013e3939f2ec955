package org.sardineport.core.fencing;

import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.port.backend.EngineOrder;

/**
 * Log record by which a daemon announces an order before it sends it. The offset of the
 * record is the fencing number of the order.
 *
 * @param server the engine
 * @param holder the daemon that sends the order
 * @param kind kind of the order
 * @param argument name of the model, adapter, version or role
 */
public record OrderIntent(BackendServerId server, DaemonId holder, EngineOrder.Kind kind, String argument) {

	/**
	 * Creates the intent and checks that its parts are present.
	 */
	public OrderIntent {
		Objects.requireNonNull(server, "server must not be null");
		Objects.requireNonNull(holder, "holder must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(argument, "argument must not be null");
	}

	/**
	 * Returns the order to send.
	 * @param fencingNumber offset of this intent's record
	 * @return the order
	 */
	public EngineOrder order(long fencingNumber) {
		return new EngineOrder(this.kind, this.argument, fencingNumber);
	}

}
