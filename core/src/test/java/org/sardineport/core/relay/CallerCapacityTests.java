package org.sardineport.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against more connections and requests than the machine of a daemon bears.
 */
class CallerCapacityTests {

	private static final long MEGABYTE = 1024 * 1024;

	@Test
	void connectionsAndMemoryFitIntoTheHeap() {
		CallerCapacity capacity = CallerCapacity.of(96 * MEGABYTE, 1_000_000);
		assertThat(capacity.memoryBytes()).isBetween(30 * MEGABYTE, 40 * MEGABYTE);
		assertThat(capacity.connections()).isBetween(2500, 3500);
	}

	@Test
	void connectionsStayBelowTheDescriptorLimit() {
		CallerCapacity capacity = CallerCapacity.of(4096 * MEGABYTE, 1024);
		assertThat(capacity.connections() + 3 * capacity.auxiliaryConnections()).isLessThanOrEqualTo(1024 - 256);
	}

	@Test
	void smallestProcessServesSomeConnections() {
		CallerCapacity capacity = CallerCapacity.of(16 * MEGABYTE, 64);
		assertThat(capacity.connections()).isPositive();
		assertThat(capacity.memoryBytes()).isPositive();
	}

}
