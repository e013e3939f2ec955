package org.sardineport.core.port.log;

import java.util.List;

/**
 * Part of a log stream, as read.
 *
 * @param records the records in order of offset; may be empty
 * @param nextOffset where to read on
 * @param endOffset offset that the next appended record will get at the earliest, as the
 * service knew it when it answered
 */
public record LogSlice(List<LogRecord> records, long nextOffset, long endOffset) {

	/**
	 * Creates the slice.
	 */
	public LogSlice {
		records = List.copyOf(records);
	}

	/**
	 * Returns whether the reader has seen all that the service knew.
	 * @return whether nothing was left to read
	 */
	public boolean isAtEnd() {
		return this.nextOffset >= this.endOffset;
	}

}
