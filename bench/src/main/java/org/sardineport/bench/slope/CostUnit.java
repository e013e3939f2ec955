package org.sardineport.bench.slope;

/**
 * Unit of a measured cost.
 */
enum CostUnit {

	/** Memory that stays in use. */
	HEAP_BYTES("bytes of heap"),

	/** Bytes that go over the network. */
	WIRE_BYTES("bytes on the wire"),

	/** Time of one processor. */
	CPU_NANOSECONDS("ns of processor time");

	private final String label;

	CostUnit(String label) {
		this.label = label;
	}

	String label() {
		return this.label;
	}

}
