package org.sardineport.daemon.exchange;

import java.time.Instant;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.journal.StoredAnswer;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;

/**
 * What a run records of its dispatch; nothing for requests without a key.
 */
interface DispatchRecords {

	/**
	 * Asks for leave to dispatch.
	 * @param backendServer where
	 * @param streamId identity of the stream
	 * @param deadline until when the answer is waited for
	 * @return the decision
	 */
	CompletionStage<DispatchDecision> dispatch(BackendServerId backendServer, String streamId, Instant deadline);

	/**
	 * Records that the request will not run.
	 * @param refusal why
	 * @return what is known of the request once the record is in the log
	 */
	CompletionStage<KeyState> release(Refusal refusal);

	/**
	 * Records the end of a dispatched request.
	 * @param outcome what is known of its run
	 * @param answer the whole answer, if there is one within the limit
	 */
	void finish(Outcome outcome, @Nullable StoredAnswer answer);

	/**
	 * Returns the largest answer to keep.
	 * @return the number of bytes; 0 to keep none
	 */
	int maximumAnswerBytes();

	/**
	 * Returns whether the run goes on once dispatched when its caller has left.
	 * @return whether its end is recorded for a later question
	 */
	boolean outlivesCaller();

}
