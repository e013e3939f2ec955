package org.sardineport.core.stream;

import java.util.Objects;

/**
 * Tells what a daemon remembers of a stream.
 *
 * @param key key of the stream
 * @param correlation number of the query or report that this replies to
 * @param record what it remembers; empty if nothing
 */
public record OriginReply(StreamKey key, int correlation, StreamRecord record) implements StreamOriginMessage {

	/**
	 * Creates the reply.
	 */
	public OriginReply {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(record, "record must not be null");
	}

}
