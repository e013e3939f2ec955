package org.sardineport.core.quarantine;

import java.util.List;

/**
 * Exchanges strikes between daemons as part of membership messages. Implementations are
 * thread-safe.
 */
public interface StrikeExchange {

	/**
	 * Returns strikes to send to other daemons, those sent least often first.
	 * @param maximum maximum number of strikes to return
	 * @return the strikes
	 */
	List<Strike> strikesToShare(int maximum);

	/**
	 * Accepts strikes received from another daemon.
	 * @param strikes the strikes
	 */
	void acceptStrikes(List<Strike> strikes);

}
