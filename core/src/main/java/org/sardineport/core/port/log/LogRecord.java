package org.sardineport.core.port.log;

import java.time.Instant;
import java.util.Objects;

/**
 * A record of a log stream.
 *
 * @param offset position in the stream; increasing, possibly with gaps
 * @param appendedAt time at which the service accepted the record, by the service's clock
 * @param value content of the record; the array is not copied and must not be changed
 */
public record LogRecord(long offset, Instant appendedAt, byte[] value) {

	/**
	 * Creates the record; time and value are mandatory.
	 */
	public LogRecord {
		Objects.requireNonNull(appendedAt, "appendedAt must not be null");
		Objects.requireNonNull(value, "value must not be null");
	}

}
