package org.sardineport.core.stream;

import org.sardineport.core.identity.NetworkAddress;

/**
 * What an {@link OriginRegistry} asks of its surroundings. Called on the registry's
 * thread; implementations must not block.
 */
public interface OriginEffects {

	/**
	 * Sends a message to a daemon.
	 * @param to its peer address
	 * @param message the message
	 */
	void send(NetworkAddress to, StreamOriginMessage message);

	/**
	 * Called once for each lookup when it has ended.
	 * @param key key of the stream
	 * @param outcome how it ended
	 * @param millis milliseconds that it took
	 */
	void lookedUp(StreamKey key, LookupOutcome outcome, long millis);

	/**
	 * Called when a report was not confirmed in time.
	 * @param run the run
	 * @param replies number of daemons that confirmed it
	 */
	void unconfirmed(StreamRun run, int replies);

}
