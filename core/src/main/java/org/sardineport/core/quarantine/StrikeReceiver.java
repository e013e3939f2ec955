package org.sardineport.core.quarantine;

import java.util.Collection;

/**
 * Receives the strikes of other daemons. Implementations are thread-safe and return
 * immediately.
 */
public interface StrikeReceiver {

	/** Discards strikes. */
	StrikeReceiver NONE = new StrikeReceiver() {

		@Override
		public void strikesReceived(Collection<Strike> strikes) {
		}

		@Override
		public void strikesWithdrawn(Collection<StrikeKey> strikes) {
		}

	};

	/**
	 * Called with strikes of other daemons, some of which may be known.
	 * @param strikes the strikes
	 */
	void strikesReceived(Collection<Strike> strikes);

	/**
	 * Called when strikes no longer count, as their suspect proved sound elsewhere.
	 * @param strikes keys of the strikes
	 */
	void strikesWithdrawn(Collection<StrikeKey> strikes);

}
