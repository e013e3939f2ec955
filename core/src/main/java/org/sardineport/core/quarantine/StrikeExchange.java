package org.sardineport.core.quarantine;

import java.util.List;

/**
 * Strikes that travel between daemons with membership messages. Safe for use by any
 * thread.
 */
public interface StrikeExchange {

	/**
	 * Returns strikes to tell others, those heard least often first.
	 * @param most most strikes to return
	 * @return the strikes
	 */
	List<Strike> strikesToShare(int most);

	/**
	 * Takes strikes that another daemon told.
	 * @param strikes the strikes
	 */
	void acceptStrikes(List<Strike> strikes);

}
