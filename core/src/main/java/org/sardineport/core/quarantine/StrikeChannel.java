package org.sardineport.core.quarantine;

import java.util.Collection;

/**
 * Carries the strikes of this daemon to the other daemons. Implementations are
 * thread-safe and return immediately.
 */
public interface StrikeChannel {

	/**
	 * Sends a strike that this daemon recorded.
	 * @param strike the strike
	 */
	void share(Strike strike);

	/**
	 * Withdraws strikes that no longer count, as their suspect proved sound.
	 * @param strikes keys of the strikes
	 */
	void withdraw(Collection<StrikeKey> strikes);

}
