package org.sardineport.wire.transport;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Detects stale and replayed frames. The state of a sender is kept until all its frames
 * are stale, so that memory is bounded by the number of daemons that sent frames within
 * that time. Not thread-safe.
 */
final class ReplayGuard {

	/**
	 * Maximum age of a frame, and how far ahead its timestamp may be. Covers the clock
	 * skew between two daemons plus the transit time.
	 */
	static final Duration MAX_AGE = Duration.ofSeconds(60);

	/** Maximum number of tracked senders; others are rejected until one expires. */
	static final int MAX_SENDERS = 8192;

	private final Map<String, Sender> senders = new HashMap<>();

	private Instant nextExpiry = Instant.MIN;

	/**
	 * Checks a frame and records its sequence number.
	 * @param sender name of the sender
	 * @param incarnation number of the sender's run
	 * @param sequence sequence number of the frame within that run
	 * @param sentAt time of sending, by the sender's clock
	 * @param now the current time, by the receiver's clock
	 * @return the reason to drop the frame, or empty if it is new
	 */
	Optional<DropReason> check(String sender, long incarnation, long sequence, Instant sentAt, Instant now) {
		if (Duration.between(sentAt, now).abs().compareTo(MAX_AGE) > 0) {
			return Optional.of(DropReason.STALE);
		}
		removeExpired(now);
		Sender known = this.senders.get(sender);
		if (known == null && this.senders.size() >= MAX_SENDERS) {
			return Optional.of(DropReason.STALE);
		}
		if (known != null && incarnation < known.incarnation) {
			return Optional.of(DropReason.STALE);
		}
		if (known == null || incarnation > known.incarnation) {
			known = new Sender(incarnation);
			this.senders.put(sender, known);
		}
		if (!known.window.accept(sequence)) {
			return Optional.of(DropReason.REPLAYED);
		}
		known.lastHeard = now;
		return Optional.empty();
	}

	int senderCount() {
		return this.senders.size();
	}

	private void removeExpired(Instant now) {
		if (now.isBefore(this.nextExpiry)) {
			return;
		}
		// An accepted frame may carry a timestamp in the future, so it remains valid for
		// up to twice the maximum age.
		Instant oldest = now.minus(MAX_AGE.multipliedBy(2));
		this.senders.values().removeIf((sender) -> sender.lastHeard.isBefore(oldest));
		this.nextExpiry = now.plus(MAX_AGE);
	}

	/**
	 * State of a sending daemon for its latest incarnation.
	 */
	private static final class Sender {

		private final long incarnation;

		private final ReplayWindow window = new ReplayWindow();

		private Instant lastHeard = Instant.MIN;

		private Sender(long incarnation) {
			this.incarnation = incarnation;
		}

	}

}
