package org.sardineport.core.port.log;

import java.time.Instant;
import java.util.Objects;

/**
 * A record of a log stream.
 *
 * @param offset its place in the stream, growing, not always without gaps
 * @param appendedAt when the service took it, by the service's clock
 * @param value its bytes; the array is not copied and must not be changed
 */
public record LogRecord(long offset, Instant appendedAt, byte[] value) {

	/**
	 * Creates the record.
	 */
	public LogRecord {
		Objects.requireNonNull(appendedAt, "appendedAt must not be null");
		Objects.requireNonNull(value, "value must not be null");
	}

}
