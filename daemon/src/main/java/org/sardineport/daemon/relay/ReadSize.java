package org.sardineport.daemon.relay;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.util.UncheckedBooleanSupplier;

/**
 * Decides how many bytes are read of a connection in one turn of the event loop, so that
 * a body in many small parts takes no longer there than one in a few large ones. What is
 * left is read in a later turn, after the other connections. For one connection, confined
 * to its event loop.
 */
final class ReadSize extends DefaultMaxMessagesRecvByteBufAllocator {

	/** Maximum number of bytes of a read of a response. */
	static final int MAX_RESPONSE_BYTES = 64 * 1024;

	/**
	 * Number of parts that a turn should not exceed. After half of them it has no further
	 * read, and the reads after a turn that exceeds it are smaller in proportion.
	 */
	static final int MAX_PARTS = 128;

	/** Maximum number of reads in a turn. */
	private static final int MAX_READS = 4;

	private static final int MIN_BYTES = 256;

	private static final int INITIAL_RESPONSE_BYTES = 1024;

	private final int maxBytes;

	private int bytes;

	private int parts;

	private boolean filled;

	private ReadSize(int initialBytes, int maxBytes) {
		super(MAX_READS);
		this.bytes = initialBytes;
		this.maxBytes = maxBytes;
	}

	/**
	 * Returns the size of reads from a backend server.
	 * @return the size, which grows from a small one
	 */
	static ReadSize ofResponses() {
		return new ReadSize(INITIAL_RESPONSE_BYTES, MAX_RESPONSE_BYTES);
	}

	/**
	 * Returns the size of reads from a caller.
	 * @param maxBytes maximum number of bytes of a read
	 * @return the size, which begins with the maximum
	 */
	static ReadSize ofRequests(int maxBytes) {
		return new ReadSize(maxBytes, maxBytes);
	}

	/**
	 * Counts a part of a body that was read in this turn.
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
			this.bytes = Math.min(this.maxBytes, 2 * this.bytes);
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
			return ReadSize.this.bytes;
		}

		@Override
		public void lastBytesRead(int read) {
			ReadSize.this.filled = read >= attemptedBytesRead();
			super.lastBytesRead(read);
		}

		@Override
		public boolean continueReading(UncheckedBooleanSupplier maybeMoreData) {
			return ReadSize.this.parts < MAX_PARTS / 2 && super.continueReading(maybeMoreData);
		}

	}

}
