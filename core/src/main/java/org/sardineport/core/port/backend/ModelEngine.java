package org.sardineport.core.port.backend;

import java.util.List;
import java.util.concurrent.CompletionStage;

import org.sardineport.core.backend.BackendServer;

/**
 * Access to model engines: requests, and control of their streams, cache and role. Stages
 * fail with {@link BackendException} as their cause.
 */
public interface ModelEngine extends LoadSource, PlainService {

	/**
	 * Continues a stream on the engine that runs it.
	 * @param server the backend server
	 * @param streamId identity of the stream
	 * @param fromByte offset in the answer's body from which to go on
	 * @param listener hears the rest of the answer
	 * @return the exchange
	 */
	Exchange resume(BackendServer server, String streamId, long fromByte, AnswerListener listener);

	/**
	 * Cancels a stream.
	 * @param server the backend server
	 * @param streamId identity of the stream
	 * @return whether the engine ran it
	 */
	CompletionStage<Boolean> cancel(BackendServer server, String streamId);

	/**
	 * Suspends a stream and exports its KV cache.
	 * @param server the backend server
	 * @param streamId identity of the stream
	 * @return the cache
	 */
	CompletionStage<byte[]> exportCache(BackendServer server, String streamId);

	/**
	 * Imports the KV cache of a suspended stream, which then can be resumed here.
	 * @param server the backend server
	 * @param streamId identity of the stream
	 * @param cache the cache as exported
	 * @return completes when the engine holds the stream
	 */
	CompletionStage<Void> importCache(BackendServer server, String streamId, byte[] cache);

	/**
	 * Asks for events of the prefix cache.
	 * @param server the backend server
	 * @param afterSequence number of the last event seen, 0 for none
	 * @return the events known to the engine, late and with gaps
	 */
	CompletionStage<List<CacheEvent>> cacheEvents(BackendServer server, long afterSequence);

	/**
	 * Gives an order.
	 * @param server the backend server
	 * @param order the order
	 * @return completes when the engine has taken it; fails with
	 * {@link BackendFailure#FENCED} if the engine checks fencing numbers and has seen a
	 * newer one
	 */
	CompletionStage<Void> order(BackendServer server, EngineOrder order);

	/**
	 * Asks for the order last taken.
	 * @param server the backend server
	 * @return the order
	 */
	CompletionStage<EngineOrder> currentOrder(BackendServer server);

}
