package org.sardineport.core.rollout;

/**
 * Requests of one route.
 *
 * @param name name of the route
 * @param share share of the pool's requests
 * @param firstMillis median time to the first data
 * @param tokens median number of tokens of a response
 * @param millisPerToken time for each further token
 * @param usualErrors share of errors of every version
 */
record RouteModel(String name, double share, double firstMillis, double tokens, double millisPerToken,
		double usualErrors) {

	/** Speeds of the backend servers of a pool. */
	static final double[] SPEEDS = { 0.55, 1, 2.8 };

}
