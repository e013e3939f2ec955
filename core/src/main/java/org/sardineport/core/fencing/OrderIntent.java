package org.sardineport.core.fencing;

import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.port.backend.EngineOrder;

/**
 * Record in the log by which a daemon announces an order before it gives it. The offset
 * of the record is the order's fencing number.
 *
 * @param server the engine
 * @param holder the daemon that gives the order
 * @param kind what to do
 * @param argument name of the model, adapter, version or role
 */
public record OrderIntent(BackendServerId server, DaemonId holder, EngineOrder.Kind kind, String argument) {

	/**
	 * Creates the intent.
	 */
	public OrderIntent {
		Objects.requireNonNull(server, "server must not be null");
		Objects.requireNonNull(holder, "holder must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(argument, "argument must not be null");
	}

	/**
	 * Returns the order as it is sent.
	 * @param fencingNumber offset of this intent's record
	 * @return the order
	 */
	public EngineOrder order(long fencingNumber) {
		return new EngineOrder(this.kind, this.argument, fencingNumber);
	}

}
