package org.sardineport.wire.transport;

import java.util.Locale;

/**
 * Reason for dropping a frame or message.
 */
public enum DropReason {

	/** The frame exceeds the maximum frame size. */
	TOO_LARGE,

	/** The frame is too short or has an unknown version. */
	NOT_A_FRAME,

	/** The frame's tag matches no key of this fleet for this receiver's address. */
	NOT_AUTHENTIC,

	/** The frame is authentic but its message can't be decoded. */
	MALFORMED,

	/** The frame carries the name of another fleet. */
	OTHER_FLEET,

	/**
	 * The frame's timestamp is too old or too far in the future, its sender has since
	 * sent frames of a later incarnation, or too many senders are tracked.
	 */
	STALE,

	/** The frame's sequence number was received before or is below the replay window. */
	REPLAYED,

	/** A listener threw an exception. */
	LISTENER_FAILED,

	/** The send queue is full. */
	SEND_QUEUE_FULL,

	/** The transport is not running, or the operating system rejected the datagram. */
	SEND_FAILED;

	/**
	 * Returns the name used in metrics and logs.
	 * @return the constant's name in lower case with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
