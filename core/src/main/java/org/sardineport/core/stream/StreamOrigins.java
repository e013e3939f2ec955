package org.sardineport.core.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Bounded memory of records by key. A record expires when the callers of its streams can
 * no longer come back; when the memory is full, the oldest record is evicted and counted.
 * Not safe for use by several threads.
 */
public final class StreamOrigins {

	/** Longest time that a record is kept, whatever its sender asks for. */
	public static final Duration MAXIMUM_KEEP = Duration.ofMinutes(15);

	private final int maximumEntries;

	private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();

	private long evictions;

	private StreamOrigins(int maximumEntries) {
		this.maximumEntries = maximumEntries;
	}

	/**
	 * Returns an empty memory.
	 * @param maximumEntries maximum number of keys, at least 1
	 * @return the memory
	 * @throws IllegalArgumentException if the maximum is less than 1
	 */
	public static StreamOrigins withMaximum(int maximumEntries) {
		if (maximumEntries < 1) {
			throw new IllegalArgumentException("maximumEntries must be at least 1, found " + maximumEntries);
		}
		return new StreamOrigins(maximumEntries);
	}

	/**
	 * Adds a report about a run. The record is kept until the latest expiry reported.
	 * @param key the key
	 * @param report what is known of the run
	 * @param expiresAt time until which a caller may come back, in milliseconds; limited
	 * to {@link #MAXIMUM_KEEP} from now
	 * @param now the current time in milliseconds
	 * @return the record with the report added
	 */
	public StreamRecord add(StreamKey key, RunOrigin report, long expiresAt, long now) {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(report, "report must not be null");
		long expiry = Math.min(expiresAt, now + MAXIMUM_KEEP.toMillis());
		Entry known = live(key, now);
		if (known == null) {
			makeRoom();
			known = new Entry(StreamRecord.EMPTY, expiry);
		}
		Entry updated = new Entry(known.record().merge(StreamRecord.of(report)), Math.max(expiry, known.expiresAt()));
		this.entries.put(key, updated);
		return updated.record();
	}

	private void makeRoom() {
		if (this.entries.size() < this.maximumEntries) {
			return;
		}
		Iterator<StreamKey> oldest = this.entries.keySet().iterator();
		oldest.next();
		oldest.remove();
		this.evictions++;
	}

	/**
	 * Returns what is known of a key.
	 * @param key the key
	 * @param now the current time in milliseconds
	 * @return the record, {@link StreamRecord#EMPTY} if there is none
	 */
	public StreamRecord find(StreamKey key, long now) {
		Entry known = live(key, now);
		return (known != null) ? known.record() : StreamRecord.EMPTY;
	}

	/**
	 * Returns the runs that are known to have begun.
	 * @param now the current time in milliseconds
	 * @return the runs that have not expired
	 */
	public List<BegunRun> begun(long now) {
		List<BegunRun> begun = new ArrayList<>();
		this.entries.forEach((key, entry) -> {
			if (entry.expiresAt() > now) {
				entry.record()
					.runs()
					.stream()
					.filter((run) -> run.state() == RunState.BEGUN)
					.forEach((run) -> begun.add(new BegunRun(new StreamRun(key, run.run()), run.version(),
							Duration.ofMillis(entry.expiresAt() - now))));
			}
		});
		return begun;
	}

	private @Nullable Entry live(StreamKey key, long now) {
		Entry known = this.entries.get(key);
		if (known != null && known.expiresAt() <= now) {
			this.entries.remove(key);
			return null;
		}
		return known;
	}

	/**
	 * Removes all records that have expired.
	 * @param now the current time in milliseconds
	 */
	public void expire(long now) {
		this.entries.values().removeIf((entry) -> entry.expiresAt() <= now);
	}

	/**
	 * Returns the number of keys, including those that expired since the last
	 * {@link #expire}.
	 * @return the number
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Returns how many records were evicted before they expired.
	 * @return the number since creation
	 */
	public long evictions() {
		return this.evictions;
	}

	/**
	 * A record with its expiry.
	 *
	 * @param record what is known
	 * @param expiresAt time of the expiry in milliseconds
	 */
	private record Entry(StreamRecord record, long expiresAt) {

	}

}
