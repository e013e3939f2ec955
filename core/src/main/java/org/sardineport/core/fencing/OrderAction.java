package org.sardineport.core.fencing;

/**
 * What the giver of an order does next.
 */
public enum OrderAction {

	/** Nothing for now. */
	WAIT,

	/** Append the intent anew, since too much time has passed since it was read back. */
	RENEW,

	/** Send the order. */
	SEND,

	/** Ask the engine for the order that it took last. */
	VERIFY,

	/** Nothing more: the engine has taken the order, and refuses older ones. */
	DONE,

	/** Nothing more: another daemon has given a newer order. */
	STOP

}
