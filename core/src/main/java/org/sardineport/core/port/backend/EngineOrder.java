package org.sardineport.core.port.backend;

import java.util.Objects;

/**
 * An order to an engine.
 *
 * @param kind what to do
 * @param argument name of the model, adapter, version or role
 * @param fencingNumber offset of the intent in the log; newer orders carry greater ones
 */
public record EngineOrder(Kind kind, String argument, long fencingNumber) {

	/**
	 * Creates the order.
	 */
	public EngineOrder {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(argument, "argument must not be null");
	}

	/**
	 * Kind of an order.
	 */
	public enum Kind {

		/** Load a model. */
		LOAD_MODEL,

		/** Load an adapter. */
		LOAD_ADAPTER,

		/** Switch to a version. */
		SWITCH_VERSION,

		/** Take a role, such as prefill or decode. */
		CHANGE_ROLE

	}

}
