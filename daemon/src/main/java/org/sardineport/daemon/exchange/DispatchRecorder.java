package org.sardineport.daemon.exchange;

import java.time.Instant;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.journal.StoredResponse;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;

/**
 * Records the dispatch of a run and its end. Requests without a key record nothing.
 */
interface DispatchRecorder {

	/**
	 * Records that the request is about to be dispatched, and returns whether it may be.
	 * @param backendServer the backend server that will run it
	 * @param streamId identifier of the stream
	 * @param deadline time until which the response is awaited
	 * @return the decision
	 */
	CompletionStage<DispatchDecision> dispatch(BackendServerId backendServer, String streamId, Instant deadline);

	/**
	 * Records that this daemon will not run the request.
	 * @param refusal the reason
	 * @return the state of the request once the record is in the log
	 */
	CompletionStage<KeyState> release(Refusal refusal);

	/**
	 * Records the end of a dispatched request.
	 * @param outcome the known outcome
	 * @param answer the complete response, or {@code null} if there is none within the
	 * limit
	 */
	void finish(Outcome outcome, @Nullable StoredResponse answer);

	/**
	 * Returns the maximum body size of a response to store.
	 * @return the size in bytes; 0 to store no response
	 */
	int maxResponseBytes();

	/**
	 * Returns whether a dispatched run continues after its caller has disconnected.
	 * @return {@code true} if its end is recorded, so that the caller can request it
	 * later
	 */
	boolean continuesAfterDisconnect();

}
