package org.sardineport.core.stream;

import java.util.Objects;

/**
 * Asks the daemon that writes to the platform's store to store the origin of a run. There
 * is no reply: a stream whose origin was not stored is unknown after the loss of all
 * daemons.
 *
 * @param key key of the stream
 * @param run what to store of the run
 */
public record OriginStorageRequest(StreamKey key, RunOrigin run) implements StreamOriginMessage {

	/**
	 * Creates the request.
	 */
	public OriginStorageRequest {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(run, "run must not be null");
	}

}
