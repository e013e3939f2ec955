package org.sardineport.core.fencing;

/**
 * Next action of the daemon that gives an order.
 */
public enum OrderAction {

	/** Take no action until the state changes or the time of the next verification. */
	WAIT,

	/**
	 * Append a new record of the intent, as the previous one was read back too long ago
	 * or the order was undone.
	 */
	RENEW,

	/** Send the order. */
	SEND,

	/** Query the engine for the last order that it accepted. */
	VERIFY,

	/** Final: the engine has accepted the order and rejects older ones. */
	DONE,

	/**
	 * Final: a newer intent for the engine is in the log, or the engine has rejected the
	 * order as stale.
	 */
	STOP

}
