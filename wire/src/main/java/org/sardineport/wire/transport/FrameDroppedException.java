package org.sardineport.wire.transport;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.error.SardineportException;

/**
 * Thrown when a frame can't be sent or is rejected on receipt.
 */
final class FrameDroppedException extends SardineportException {

	private final DropReason reason;

	private FrameDroppedException(DropReason reason, @Nullable Throwable cause) {
		super("frame dropped: " + reason.label(), "Compare fleet name, keys, clocks and release of the daemons.",
				cause);
		this.reason = reason;
	}

	static FrameDroppedException of(DropReason reason) {
		return new FrameDroppedException(reason, null);
	}

	static FrameDroppedException of(DropReason reason, Throwable cause) {
		return new FrameDroppedException(reason, cause);
	}

	DropReason reason() {
		return this.reason;
	}

}
