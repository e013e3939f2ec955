package org.sardineport.core.lifecycle;

import java.util.concurrent.CompletionStage;

/**
 * Component that owns threads, sockets or other resources from its start to its stop.
 */
public interface Service {

	/**
	 * Starts the service. Must be called at most once.
	 * @return stage that completes when the service is operational, or fails with the
	 * cause
	 */
	CompletionStage<Void> start();

	/**
	 * Stops the service after the work in flight is done. Further calls have no effect.
	 * @return stage that completes when all resources of the service are released
	 */
	CompletionStage<Void> stop();

}
