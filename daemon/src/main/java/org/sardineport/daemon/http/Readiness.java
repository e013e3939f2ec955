package org.sardineport.daemon.http;

import java.util.List;

/**
 * Tells whether the daemon serves. Safe for use by any thread.
 */
@FunctionalInterface
public interface Readiness {

	/**
	 * Returns what keeps the daemon from serving.
	 * @return one short sentence each; empty if it serves
	 */
	List<String> obstacles();

}
