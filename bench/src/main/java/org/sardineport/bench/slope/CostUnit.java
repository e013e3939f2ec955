package org.sardineport.bench.slope;

/**
 * Unit of a measured cost, with its label in the CSV files and plots.
 */
enum CostUnit {

	/** Heap memory that stays in use. */
	HEAP_BYTES("bytes of heap"),

	/** Bytes sent over the network. */
	WIRE_BYTES("bytes on the wire"),

	/** CPU time of one thread. */
	CPU_NANOSECONDS("ns of processor time");

	private final String label;

	CostUnit(String label) {
		this.label = label;
	}

	String label() {
		return this.label;
	}

}
