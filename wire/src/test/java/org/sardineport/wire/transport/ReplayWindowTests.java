package org.sardineport.wire.transport;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReplayWindowTests {

	private final ReplayWindow window = new ReplayWindow();

	@Test
	void acceptsEachNumberOnceInAnyOrder() {
		long[] order = { 5, 3, 4, 0, 700, 699, 1, 2 };
		for (long sequence : order) {
			assertThat(this.window.accept(sequence)).as("first %d", sequence).isTrue();
		}
		for (long sequence : order) {
			assertThat(this.window.accept(sequence)).as("second %d", sequence).isFalse();
		}
	}

	@Test
	void refusesNumbersOlderThanTheWindow() {
		this.window.accept(ReplayWindow.SIZE);
		assertThat(this.window.accept(0)).isFalse();
		assertThat(this.window.accept(1)).isTrue();
	}

	@Test
	void clearsTheWindowWhenTheSequenceJumps() {
		for (long sequence = 0; sequence < ReplayWindow.SIZE; sequence++) {
			this.window.accept(sequence);
		}
		long far = 10L * ReplayWindow.SIZE;
		assertThat(this.window.accept(far)).isTrue();
		assertThat(this.window.accept(far - 1)).isTrue();
		assertThat(this.window.accept(far - 1)).isFalse();
	}

	@Test
	void refusesNegativeNumbers() {
		assertThat(this.window.accept(-1)).isFalse();
	}

}
