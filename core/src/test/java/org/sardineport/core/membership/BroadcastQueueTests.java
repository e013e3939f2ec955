package org.sardineport.core.membership;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BroadcastQueueTests {

	private final BroadcastQueue<String> queue = new BroadcastQueue<>(3);

	@Test
	void passesEachItemOnABoundedNumberOfTimes() {
		this.queue.add("a");
		assertThat(this.queue.take(8, 2)).containsExactly("a");
		assertThat(this.queue.take(8, 2)).containsExactly("a");
		assertThat(this.queue.take(8, 2)).isEmpty();
	}

	@Test
	void takesWhatWasPassedOnLeastFirst() {
		this.queue.add("old");
		this.queue.take(1, 5);
		this.queue.add("new");
		assertThat(this.queue.take(1, 5)).containsExactly("new");
	}

	@Test
	void startsAnewWithLaterNewsOfTheSame() {
		this.queue.add("a");
		this.queue.take(8, 2);
		this.queue.add("a");
		assertThat(this.queue.take(8, 2)).containsExactly("a");
		assertThat(this.queue.take(8, 2)).containsExactly("a");
	}

	@Test
	void dropsTheOldestWhenFull() {
		for (String item : new String[] { "a", "b", "c", "d" }) {
			this.queue.add(item);
		}
		assertThat(this.queue.size()).isEqualTo(3);
		assertThat(this.queue.take(8, 1)).containsExactly("b", "c", "d");
	}

	@Test
	void withholdsWhatWasTakenBack() {
		this.queue.add("a");
		this.queue.remove("a");
		assertThat(this.queue.take(8, 1)).isEmpty();
	}

}
