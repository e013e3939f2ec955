package org.sardineport.wire.transport;

import java.util.Locale;

/**
 * Why a frame or message was dropped.
 */
public enum DropReason {

	/** The frame is larger than allowed. */
	TOO_LARGE,

	/** The frame is too short or has another version. */
	NOT_A_FRAME,

	/** No key of this fleet signed the frame for this receiver. */
	NOT_AUTHENTIC,

	/** The frame is authentic but its message can't be read. */
	MALFORMED,

	/** The frame names another fleet. */
	OTHER_FLEET,

	/** The frame was sent too long ago, or by an earlier run of its sender. */
	STALE,

	/** The frame was received before. */
	REPLAYED,

	/** A listener failed on the message. */
	LISTENER_FAILED,

	/** Too many messages wait to be sent. */
	SEND_QUEUE_FULL,

	/** The operating system did not take the datagram. */
	SEND_FAILED;

	/**
	 * Returns the name in metrics and logs.
	 * @return the name in lower case with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
