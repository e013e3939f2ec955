package org.sardineport.core.lifecycle;

import java.util.concurrent.CompletionStage;

/**
 * Something that owns threads, sockets or other resources from its start to its stop.
 */
public interface Service {

	/**
	 * Starts the service. Called once.
	 * @return completes when the service works, or fails with the reason
	 */
	CompletionStage<Void> start();

	/**
	 * Stops the service after the work in flight. Calling it again has no further effect.
	 * @return completes when everything the service owned is released
	 */
	CompletionStage<Void> stop();

}
