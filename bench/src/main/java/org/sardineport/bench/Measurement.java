package org.sardineport.bench;

/**
 * A command that measures something and holds it against its targets.
 */
public interface Measurement {

	/**
	 * Measures, and prints what was found.
	 * @return whether every target was met
	 * @throws Exception if the measurement could not be made
	 */
	boolean run() throws Exception;

}
