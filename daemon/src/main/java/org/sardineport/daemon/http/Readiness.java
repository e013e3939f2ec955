package org.sardineport.daemon.http;

import java.util.List;

/**
 * Reports whether the daemon is ready to serve requests. Safe for use by any thread.
 */
@FunctionalInterface
public interface Readiness {

	/**
	 * Returns the conditions that keep the daemon from serving requests.
	 * @return one short sentence per unmet condition; empty if the daemon is ready
	 */
	List<String> blockers();

}
