package org.sardineport.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * News on their way to all members. Each item is passed on a bounded number of times,
 * those passed on least first; a full queue drops its oldest item.
 *
 * @param <K> what the news are about; later news replace earlier ones
 */
final class BroadcastQueue<K> {

	private final int capacity;

	private final Map<K, Item<K>> items = new LinkedHashMap<>();

	BroadcastQueue(int capacity) {
		this.capacity = capacity;
	}

	/**
	 * Starts to pass on news, anew if they were on their way already.
	 * @param key what the news are about
	 */
	void add(K key) {
		this.items.remove(key);
		if (this.items.size() >= this.capacity) {
			this.items.remove(this.items.keySet().iterator().next());
		}
		this.items.put(key, new Item<>(key));
	}

	/**
	 * Stops passing on news.
	 * @param key what the news are about
	 */
	void remove(K key) {
		this.items.remove(key);
	}

	/**
	 * Takes what goes with the next message.
	 * @param maximum most items to take
	 * @param limit number of times that each item is passed on
	 * @return what the news are about
	 */
	List<K> take(int maximum, int limit) {
		if (this.items.isEmpty()) {
			return List.of();
		}
		List<Item<K>> chosen = new ArrayList<>(this.items.values());
		chosen.sort(Comparator.comparingInt((item) -> item.transmissions));
		List<K> keys = new ArrayList<>();
		for (Item<K> item : chosen.subList(0, Math.min(maximum, chosen.size()))) {
			keys.add(item.key);
			item.transmissions++;
			if (item.transmissions >= limit) {
				this.items.remove(item.key);
			}
		}
		return keys;
	}

	int size() {
		return this.items.size();
	}

	/**
	 * One item with the number of times that it was passed on.
	 */
	private static final class Item<K> {

		private final K key;

		private int transmissions;

		private Item(K key) {
			this.key = key;
		}

	}

}
