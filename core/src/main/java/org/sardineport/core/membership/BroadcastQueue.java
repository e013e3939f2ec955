package org.sardineport.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates that are being broadcast to all members by gossip. Each item is transmitted a
 * bounded number of times, the least transmitted items first. A full queue drops its
 * oldest item.
 *
 * @param <K> type of the key of an update; a later update with the same key replaces an
 * earlier one
 */
final class BroadcastQueue<K> {

	private final int capacity;

	private final Map<K, Item<K>> items = new LinkedHashMap<>();

	BroadcastQueue(int capacity) {
		this.capacity = capacity;
	}

	/**
	 * Starts broadcasting an update. If it is queued already, its transmission count
	 * starts again at zero.
	 * @param key key of the update
	 */
	void add(K key) {
		this.items.remove(key);
		if (this.items.size() >= this.capacity) {
			this.items.remove(this.items.keySet().iterator().next());
		}
		this.items.put(key, new Item<>(key));
	}

	/**
	 * Stops broadcasting an update.
	 * @param key key of the update
	 */
	void remove(K key) {
		this.items.remove(key);
	}

	/**
	 * Takes the updates that go with the next message.
	 * @param maxItems maximum number of items to take
	 * @param maxTransmissions number of times that each item is transmitted
	 * @return keys of the updates, the least transmitted first
	 */
	List<K> take(int maxItems, int maxTransmissions) {
		if (this.items.isEmpty()) {
			return List.of();
		}
		List<Item<K>> sorted = new ArrayList<>(this.items.values());
		sorted.sort(Comparator.comparingInt((item) -> item.transmissions));
		List<K> keys = new ArrayList<>();
		for (Item<K> item : sorted.subList(0, Math.min(maxItems, sorted.size()))) {
			keys.add(item.key);
			item.transmissions++;
			if (item.transmissions >= maxTransmissions) {
				this.items.remove(item.key);
			}
		}
		return keys;
	}

	int size() {
		return this.items.size();
	}

	/**
	 * An item with the number of times that it was transmitted.
	 */
	private static final class Item<K> {

		private final K key;

		private int transmissions;

		private Item(K key) {
			this.key = key;
		}

	}

}
