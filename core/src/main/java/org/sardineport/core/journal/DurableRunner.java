package org.sardineport.core.journal;

/**
 * Runs the requests that the journal takes over from failed daemons. Methods are called
 * on the journal's thread and must not block.
 */
public interface DurableRunner {

	/**
	 * Runs a request that was accepted but never dispatched. The request is scheduled,
	 * recorded with {@link RequestJournal#dispatch}, and ended with
	 * {@link RequestJournal#finish} or {@link RequestJournal#release}.
	 * @param request the request
	 * @param claim this daemon's claim on it
	 */
	void run(KeyedRequest request, JournalClaim claim);

	/**
	 * Collects the answer of a dispatched request from the engine's stream and ends it
	 * with {@link RequestJournal#finish}. The outcome is unknown if the engine cannot
	 * resume the stream. The request is not sent again.
	 * @param run the dispatched run
	 */
	void resume(DispatchedRun run);

}
