package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Probes that a daemon sends to its own peer address. They arrive behind everything that
 * was received before, so once one has been read, no response can still be waiting to be
 * read that came before it was sent. Not thread-safe.
 */
final class SelfProbe {

	private final Duration repeatAfter;

	private final Map<Long, Instant> unread = new HashMap<>();

	private Instant lastSent = Instant.MIN;

	private Instant readUntil = Instant.MIN;

	/**
	 * Creates a state without probes.
	 * @param repeatAfter time after which an unread probe is repeated, as it may be lost
	 */
	SelfProbe(Duration repeatAfter) {
		this.repeatAfter = repeatAfter;
	}

	/**
	 * Returns whether to send a probe now.
	 * @param needed time up to which all received messages must have been read
	 * @param now the current time
	 * @return whether none has been read that is recent enough, and none was sent lately
	 */
	boolean isDue(Instant needed, Instant now) {
		return !hasReadUntil(needed) && (this.unread.isEmpty() || !now.isBefore(this.lastSent.plus(this.repeatAfter)));
	}

	void sent(long sequence, Instant now) {
		this.lastSent = now;
		this.unread.put(sequence, now);
	}

	void read(long sequence) {
		Instant sentAt = this.unread.remove(sequence);
		if (sentAt != null && sentAt.isAfter(this.readUntil)) {
			this.readUntil = sentAt;
			this.unread.values().removeIf((other) -> !other.isAfter(sentAt));
		}
	}

	/**
	 * Returns whether this daemon has read all messages that it had received by a time.
	 * @param time the time
	 * @return whether a probe sent then or later has been read
	 */
	boolean hasReadUntil(Instant time) {
		return !this.readUntil.isBefore(time);
	}

}
