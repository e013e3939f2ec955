package org.sardineport.wire.transport;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Tells new frames from stale and repeated ones. It remembers each sender for as long as
 * frames of that age are let in, so that its memory is bounded by the number of daemons
 * heard in that time. Not safe for use by several threads.
 */
final class ReplayGuard {

	/** Greatest difference between the clocks of two daemons plus the way of a frame. */
	static final Duration MAXIMUM_AGE = Duration.ofSeconds(60);

	/** Most senders remembered; further ones are refused until others have aged out. */
	static final int MAXIMUM_SENDERS = 8192;

	private final Map<String, Sender> senders = new HashMap<>();

	private Instant nextSweep = Instant.MIN;

	/**
	 * Checks a frame and remembers it.
	 * @param sender name of its sender
	 * @param incarnation number of the sender's run
	 * @param sequence number of the frame
	 * @param sentAt when it was sent, by the sender's clock
	 * @param now the current time
	 * @return why to drop it, or empty if it is new
	 */
	Optional<DropReason> check(String sender, long incarnation, long sequence, Instant sentAt, Instant now) {
		if (Duration.between(sentAt, now).abs().compareTo(MAXIMUM_AGE) > 0) {
			return Optional.of(DropReason.STALE);
		}
		sweep(now);
		Sender known = this.senders.get(sender);
		if (known == null && this.senders.size() >= MAXIMUM_SENDERS) {
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

	int senders() {
		return this.senders.size();
	}

	private void sweep(Instant now) {
		if (now.isBefore(this.nextSweep)) {
			return;
		}
		// A frame let in may carry a time that lies ahead, so it stays valid for twice
		// the maximum age.
		Instant oldest = now.minus(MAXIMUM_AGE.multipliedBy(2));
		this.senders.values().removeIf((sender) -> sender.lastHeard.isBefore(oldest));
		this.nextSweep = now.plus(MAXIMUM_AGE);
	}

	/**
	 * One run of a sending daemon.
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
