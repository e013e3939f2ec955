package org.sardineport.bench;

/**
 * Command that runs a measurement and compares its results with their targets. Instances
 * are used for one run.
 */
public interface Measurement {

	/**
	 * Runs the measurement and prints its results to the standard output.
	 * @return whether every target was met
	 * @throws Exception if the measurement failed, so that there is no result
	 */
	boolean run() throws Exception;

}
