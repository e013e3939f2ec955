package org.sardineport.core.stream;

import java.util.Objects;

/**
 * Asks a daemon what it remembers of a stream.
 *
 * @param key key of the stream
 * @param correlation number to repeat in the reply
 */
public record OriginQuery(StreamKey key, int correlation) implements StreamOriginMessage {

	/**
	 * Creates the query.
	 */
	public OriginQuery {
		Objects.requireNonNull(key, "key must not be null");
	}

}
