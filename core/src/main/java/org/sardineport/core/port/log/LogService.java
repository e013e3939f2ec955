package org.sardineport.core.port.log;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * The platform's append-only log service. Stages fail with {@link LogServiceException} as
 * their cause. Safe for use by any thread.
 */
public interface LogService {

	/** Offset that stands for the first record that the service keeps. */
	long EARLIEST = -1;

	/**
	 * Appends a record.
	 * @param stream name of the stream; it comes to be with its first record
	 * @param value bytes of the record; must not be changed afterwards
	 * @return the record's offset. After {@link LogFailure#UNKNOWN} the record may or may
	 * not be in the stream, and may still get there later
	 */
	CompletionStage<Long> append(String stream, byte[] value);

	/**
	 * Reads records.
	 * @param stream name of the stream
	 * @param fromOffset first offset wanted, or {@link #EARLIEST}
	 * @param maximumRecords most records to return, at least 1
	 * @param wait how long to wait for a record if there is none yet
	 * @return the records from the offset on; fails with
	 * {@link LogFailure#OFFSET_EXPIRED} if the offset is older than what is kept
	 */
	CompletionStage<LogSlice> read(String stream, long fromOffset, int maximumRecords, Duration wait);

}
