package org.sardineport.core.capacity;

/**
 * Throughput of a simulated server.
 */
interface ServerCurve {

	/**
	 * Returns the throughput as a multiple of that of one request alone.
	 * @param running number of concurrent requests, at least 1
	 * @param now the time in milliseconds
	 * @return the throughput
	 */
	double throughput(int running, long now);

}
