package org.sardineport.core.quarantine;

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

}
