package org.sardineport.core.port.backend;

import java.util.Objects;

/**
 * An order to an engine to load models or adapters, or to change its version or role.
 *
 * @param kind kind of the change
 * @param argument name of the model, adapter, version or role
 * @param fencingNumber fencing token: offset of the intent record in the log; newer
 * orders have greater numbers
 */
public record EngineOrder(Kind kind, String argument, long fencingNumber) {

	/**
	 * Creates the order; kind and argument are mandatory.
	 */
	public EngineOrder {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(argument, "argument must not be null");
	}

	/**
	 * Kind of change that an order requests.
	 */
	public enum Kind {

		/** Load the named model. */
		LOAD_MODEL,

		/** Load the named adapter. */
		LOAD_ADAPTER,

		/** Switch to the named version. */
		SWITCH_VERSION,

		/** Change to the named role, such as prefill or decode. */
		CHANGE_ROLE

	}

}
