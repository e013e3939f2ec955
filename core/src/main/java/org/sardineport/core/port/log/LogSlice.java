package org.sardineport.core.port.log;

import java.util.List;

/**
 * Result of one read of a log stream.
 *
 * @param records the records in order of offset; may be empty
 * @param nextOffset offset from which to continue reading
 * @param endOffset lowest offset that the next appended record can get, as known to the
 * service when it replied
 */
public record LogSlice(List<LogRecord> records, long nextOffset, long endOffset) {

	/**
	 * Creates the slice; the records are copied.
	 */
	public LogSlice {
		records = List.copyOf(records);
	}

	/**
	 * Returns whether the reader has read all records that the service knew when it
	 * replied.
	 * @return {@code true} if no record remains to be read
	 */
	public boolean isAtEnd() {
		return this.nextOffset >= this.endOffset;
	}

}
