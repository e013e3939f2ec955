package org.sardineport.core.quarantine;

/**
 * Receives the events of a {@link StrikeRegistry}. Called during calls to the registry,
 * on the same thread.
 */
@FunctionalInterface
public interface QuarantineListener {

	/**
	 * Called after a change.
	 * @param event the change
	 */
	void onQuarantineEvent(QuarantineEvent event);

}
