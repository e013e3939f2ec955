package org.sardineport.core.port.backend;

import java.util.List;
import java.util.concurrent.CompletionStage;

import org.sardineport.core.backend.BackendServer;

/**
 * Access to model engines: requests, and control of their streams, cache and role. Stages
 * complete exceptionally with {@link BackendException} as their cause.
 */
public interface ModelEngine extends LoadSource, PlainService {

	/**
	 * Resumes a stream on the engine that runs it.
	 * @param server the backend server
	 * @param streamId identity of the stream
	 * @param fromByte offset in the response body at which to continue
	 * @param listener receives the rest of the response
	 * @return the exchange
	 */
	Exchange resume(BackendServer server, String streamId, long fromByte, ResponseListener listener);

	/**
	 * Cancels a stream that an engine runs.
	 * @param server the backend server
	 * @param streamId identity of the stream
	 * @return {@code true} if the engine was running the stream
	 */
	CompletionStage<Boolean> cancel(BackendServer server, String streamId);

	/**
	 * Suspends a stream and exports its KV cache.
	 * @param server the backend server
	 * @param streamId identity of the stream
	 * @return the exported cache
	 */
	CompletionStage<byte[]> exportCache(BackendServer server, String streamId);

	/**
	 * Imports the KV cache of a suspended stream, which can then be resumed on this
	 * engine.
	 * @param server the backend server
	 * @param streamId identity of the stream
	 * @param cache the cache as exported by {@link #exportCache}
	 * @return a stage that completes when the engine holds the stream
	 */
	CompletionStage<Void> importCache(BackendServer server, String streamId, byte[] cache);

	/**
	 * Requests the events of an engine's prefix cache.
	 * @param server the backend server
	 * @param afterSequence sequence number of the last event received, 0 for none
	 * @return the later events known to the engine; may be delayed and have gaps
	 */
	CompletionStage<List<CacheEvent>> cacheEvents(BackendServer server, long afterSequence);

	/**
	 * Sends an order to an engine.
	 * @param server the backend server
	 * @param order the order
	 * @return a stage that completes when the engine has accepted the order; fails with
	 * {@link BackendFailure#FENCED} if the engine checks fencing numbers and has seen a
	 * newer one
	 */
	CompletionStage<Void> order(BackendServer server, EngineOrder order);

	/**
	 * Requests the order that an engine accepted last.
	 * @param server the backend server
	 * @return the order
	 */
	CompletionStage<EngineOrder> currentOrder(BackendServer server);

}
