package org.sardineport.core.capacity;

/**
 * Why the learned capacity of a backend server changed.
 */
public enum CapacityReason {

	/** More load gained no throughput. */
	KNEE("knee"),

	/** More load gained throughput in trials. */
	GAIN("gain"),

	/** The times of runs did not fall with the load after the limit was lowered. */
	REFUTED("refuted"),

	/** Several trials neither showed nor excluded a gain of throughput. */
	UNDECIDED("undecided");

	private final String label;

	CapacityReason(String label) {
		this.label = label;
	}

	/**
	 * Returns the name used in logs and metrics.
	 * @return the name
	 */
	public String label() {
		return this.label;
	}

}
