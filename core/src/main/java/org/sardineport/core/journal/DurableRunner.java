package org.sardineport.core.journal;

/**
 * Runs what the journal takes over from daemons that died. Called on the journal's thread
 * and returns at once.
 */
public interface DurableRunner {

	/**
	 * Runs a request that was accepted and never dispatched: it goes to the scheduler,
	 * through {@link RequestJournal#dispatch}, and ends with
	 * {@link RequestJournal#finish} or {@link RequestJournal#release}.
	 * @param request the request
	 * @param claim this daemon's claim on it
	 */
	void run(KeyedRequest request, JournalClaim claim);

	/**
	 * Collects the answer of a request that was dispatched, from the engine's stream, and
	 * ends it with {@link RequestJournal#finish}: with the unknown outcome if the engine
	 * cannot resume the stream. Nothing is sent again.
	 * @param run what was dispatched
	 */
	void resume(DispatchedRun run);

}
