package org.sardineport.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests, large or small, that fill the heap in their sum.
 */
class CallerMemoryTests {

	private static final long LARGE = 4_000_000;

	private final CallerMemory memory = CallerMemory.ofMaximum(10_000_000);

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
	void smallBodiesAreCounted() {
		for (int i = 0; i < 500; i++) {
			assertThat(this.memory.tryReserve(0, CallerMemory.ORDINARY_BYTES)).isTrue();
		}
		assertThat(this.memory.held()).isEqualTo(500L * CallerMemory.ORDINARY_BYTES);
	}

	@Test
	void roomIsReservedForOrdinaryRequests() {
		assertThat(this.memory.tryReserve(0, 10_000_000)).isTrue();
		assertThat(this.memory.tryReserve(0, CallerMemory.ORDINARY_BYTES + 1)).isFalse();
		int ordinary = 0;
		while (this.memory.tryReserve(0, CallerMemory.ORDINARY_BYTES)) {
			ordinary++;
		}
		assertThat(ordinary).isEqualTo(2_500_000 / CallerMemory.ORDINARY_BYTES);
	}

	@Test
	void oneBodyPassesWhateverItsSize() {
		assertThat(this.memory.tryReserve(0, CallerMemory.ORDINARY_BYTES)).isTrue();
		assertThat(this.memory.tryReserve(0, 50_000_000)).isTrue();
		assertThat(this.memory.tryReserve(0, LARGE)).isFalse();
	}

	@Test
	void memoryIsShortBeforeRequestsWait() {
		assertThat(this.memory.tryReserve(0, 8_900_000)).isTrue();
		assertThat(this.memory.isShort()).isFalse();
		assertThat(this.memory.tryReserve(0, 200_000)).isTrue();
		assertThat(this.memory.isShort()).isTrue();
	}

	@Test
	void oneResponseTakesASmallPartOnly() {
		assertThat(this.memory.tryReserveResponse(0, 150_000)).isTrue();
		assertThat(this.memory.tryReserveResponse(150_000, 160_000)).isFalse();
		assertThat(this.memory.held()).isEqualTo(150_000);
	}

	@Test
	void responsesBeyondTheMaximumAreNotHeld() {
		assertThat(this.memory.tryReserve(0, 10_000_000)).isTrue();
		assertThat(this.memory.tryReserveResponse(0, 1000)).isFalse();
	}

	@Test
	void requestsWaitForResponsesThatAreNotRead() {
		this.memory.hold(9_000_000);
		assertThat(this.memory.tryReserve(0, 1_000_000)).isTrue();
		assertThat(this.memory.tryReserve(0, 1_000_000)).isFalse();
		this.memory.release(9_000_000);
		assertThat(this.memory.tryReserve(0, 1_000_000)).isTrue();
	}

	@Test
	void releasedMemoryIsFreeAgain() {
		assertThat(this.memory.tryReserve(0, 50_000_000)).isTrue();
		this.memory.release(50_000_000);
		assertThat(this.memory.held()).isZero();
		assertThat(this.memory.tryReserve(0, 50_000_000)).isTrue();
	}

}
