package org.sardineport.daemon.relay;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.util.UncheckedBooleanSupplier;

/**
 * Decides how many bytes are read from a backend server in one turn of the event loop, so
 * that a response in many small parts takes no longer there than one in a few large ones.
 * What is left is read in a later turn, after the other connections. For one connection,
 * confined to its event loop.
 */
final class ResponseReadSize extends DefaultMaxMessagesRecvByteBufAllocator {

	/** Maximum number of bytes of a read. */
	static final int MAX_BYTES = 64 * 1024;

	/**
	 * Number of parts that a turn should not exceed. After half of them it has no further
	 * read, and the reads after a turn that exceeds it are smaller in proportion.
	 */
	static final int MAX_PARTS = 128;

	/** Maximum number of reads in a turn. */
	private static final int MAX_READS = 4;

	private static final int MIN_BYTES = 256;

	private static final int INITIAL_BYTES = 1024;

	private int bytes = INITIAL_BYTES;

	private int parts;

	private boolean filled;

	ResponseReadSize() {
		super(MAX_READS);
	}

	/**
	 * Counts a part of a response that was read in this turn.
	 */
	void recordPart() {
		this.parts++;
	}

	/**
	 * Ends a turn and adapts the size of the next read.
	 * @return number of parts that the turn has brought
	 */
	int endTurn() {
		int read = this.parts;
		this.parts = 0;
		if (read > MAX_PARTS) {
			this.bytes = Math.max(MIN_BYTES, (int) ((long) this.bytes * MAX_PARTS / read));
		}
		else if (this.filled && read <= MAX_PARTS / 2) {
			this.bytes = Math.min(MAX_BYTES, 2 * this.bytes);
		}
		return read;
	}

	/**
	 * Returns the maximum size of the next read.
	 * @return the size, in bytes
	 */
	int bytes() {
		return this.bytes;
	}

	@Override
	@SuppressWarnings("deprecation")
	public Handle newHandle() {
		return new SizedHandle();
	}

	/**
	 * Passes the size on to the connection.
	 */
	private final class SizedHandle extends MaxMessageHandle {

		@Override
		public int guess() {
			return ResponseReadSize.this.bytes;
		}

		@Override
		public void lastBytesRead(int read) {
			ResponseReadSize.this.filled = read >= attemptedBytesRead();
			super.lastBytesRead(read);
		}

		@Override
		public boolean continueReading(UncheckedBooleanSupplier maybeMoreData) {
			return ResponseReadSize.this.parts < MAX_PARTS / 2 && super.continueReading(maybeMoreData);
		}

	}

}
