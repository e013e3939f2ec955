package org.sardineport.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BodyMemoryTests {

	private static final long LARGE = 4_000_000;

	private final BodyMemory memory = BodyMemory.ofMaximum(10_000_000);

	@Test
	void bodiesBeyondTheMaximumWait() {
		assertThat(this.memory.tryReserve(0, LARGE)).isTrue();
		assertThat(this.memory.tryReserve(0, LARGE)).isTrue();
		assertThat(this.memory.tryReserve(0, LARGE)).isFalse();
		this.memory.release(LARGE);
		assertThat(this.memory.tryReserve(0, LARGE)).isTrue();
		assertThat(this.memory.held()).isEqualTo(2 * LARGE);
	}

	@Test
	void bodyThatGrowsIsCountedOnce() {
		assertThat(this.memory.tryReserve(0, LARGE)).isTrue();
		assertThat(this.memory.tryReserve(LARGE, 2 * LARGE)).isTrue();
		assertThat(this.memory.tryReserve(LARGE, LARGE - 1)).isTrue();
		assertThat(this.memory.held()).isEqualTo(2 * LARGE);
	}

	@Test
	void smallBodiesAlwaysPassAndAreNotCounted() {
		assertThat(this.memory.tryReserve(0, 10_000_000)).isTrue();
		assertThat(this.memory.tryReserve(0, BodyMemory.SMALL_BYTES)).isTrue();
		assertThat(this.memory.held()).isEqualTo(10_000_000);
	}

	@Test
	void oneBodyPassesWhateverItsSize() {
		assertThat(this.memory.tryReserve(0, 50_000_000)).isTrue();
		assertThat(this.memory.tryReserve(0, LARGE)).isFalse();
	}

}
