package org.sardineport.core.quarantine;

import java.util.Collection;

/**
 * Outgoing effects of the quarantine: its events, and the strikes to share with other
 * daemons. Called during calls to the scheduler, on the same thread.
 */
public interface QuarantineEffects extends StrikeChannel {

	/** Discards events and strikes. */
	QuarantineEffects NONE = new QuarantineEffects() {

		@Override
		public void onQuarantineEvent(QuarantineEvent event) {
		}

		@Override
		public void share(Strike strike) {
		}

		@Override
		public void withdraw(Collection<StrikeKey> strikes) {
		}

	};

	/**
	 * Called when what is known of a suspect has changed.
	 * @param event the change
	 */
	void onQuarantineEvent(QuarantineEvent event);

}
