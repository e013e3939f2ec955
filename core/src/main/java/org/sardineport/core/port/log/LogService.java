package org.sardineport.core.port.log;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * The platform's append-only log service. Stages complete exceptionally with
 * {@link LogServiceException} as their cause. Thread-safe.
 */
public interface LogService {

	/** Offset that denotes the first retained record. */
	long EARLIEST = -1;

	/**
	 * Appends a record to a stream.
	 * @param stream name of the stream, which is created by its first record
	 * @param value content of the record; must not be changed afterwards
	 * @return the record's offset. After {@link LogFailure#UNKNOWN} the record may be in
	 * the stream or not, and may still appear there later
	 */
	CompletionStage<Long> append(String stream, byte[] value);

	/**
	 * Reads records of a stream.
	 * @param stream name of the stream
	 * @param fromOffset first offset to read, or {@link #EARLIEST}
	 * @param maximumRecords maximum number of records to return, at least 1
	 * @param wait how long to wait for a record if none is available
	 * @return the records starting at the offset; fails with
	 * {@link LogFailure#OFFSET_EXPIRED} if the offset is older than the first retained
	 * record
	 */
	CompletionStage<LogSlice> read(String stream, long fromOffset, int maximumRecords, Duration wait);

}
