package org.sardineport.core.membership;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BroadcastQueueTests {

	private final BroadcastQueue<String> queue = new BroadcastQueue<>(3);

	@Test
	void takesEachItemABoundedNumberOfTimes() {
		this.queue.add("a");
		assertThat(this.queue.take(8, 2)).containsExactly("a");
		assertThat(this.queue.take(8, 2)).containsExactly("a");
		assertThat(this.queue.take(8, 2)).isEmpty();
	}

	@Test
	void takesLeastTransmittedItemFirst() {
		this.queue.add("old");
		this.queue.take(1, 5);
		this.queue.add("new");
		assertThat(this.queue.take(1, 5)).containsExactly("new");
	}

	@Test
	void addingItemAgainResetsItsTransmissions() {
		this.queue.add("a");
		this.queue.take(8, 2);
		this.queue.add("a");
		assertThat(this.queue.take(8, 2)).containsExactly("a");
		assertThat(this.queue.take(8, 2)).containsExactly("a");
	}

	@Test
	void dropsOldestItemWhenFull() {
		for (String item : new String[] { "a", "b", "c", "d" }) {
			this.queue.add(item);
		}
		assertThat(this.queue.size()).isEqualTo(3);
		assertThat(this.queue.take(8, 1)).containsExactly("b", "c", "d");
	}

	@Test
	void doesNotTakeRemovedItem() {
		this.queue.add("a");
		this.queue.remove("a");
		assertThat(this.queue.take(8, 1)).isEmpty();
	}

}
