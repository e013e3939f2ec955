package org.sardineport.core.fleet;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

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
	 * @return completes on any thread with the last such read, or the next one, and not
	 * at all while the list cannot be read; never fails
	 */
	CompletableFuture<ListRead> since(Instant time);

	/**
	 * Adds a listener of the successful reads. Must be called before the start.
	 * @param listener hears each read on any thread and must not block
	 */
	void addListener(Consumer<ListRead> listener);

	/**
	 * Asks for a read earlier than the next periodic one, as soon as the minimum interval
	 * between reads permits. A read that fails counts for that interval like any other.
	 */
	void readSoon();

}
