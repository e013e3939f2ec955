package org.sardineport.core.fleet;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;

/**
 * The reads of the VM list by this daemon. Safe for use by any thread.
 */
public interface ListReads {

	/**
	 * Returns the last successful read.
	 * @return the read; {@link ListRead#NONE} before the first
	 */
	ListRead last();

	/**
	 * Waits for a read that began at a time or later.
	 * @param time the time
	 * @return completes on any thread with the first such read, and not at all while the
	 * list cannot be read; never fails
	 */
	CompletableFuture<ListRead> since(Instant time);

	/**
	 * Asks for a read earlier than the next periodic one. Has no effect if the list was
	 * read very recently, or if the last read failed.
	 */
	void readSoon();

}
