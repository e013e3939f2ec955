package org.sardineport.core.scheduling;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongConsumer;

import org.sardineport.core.identity.DaemonId;

/**
 * Measures how long messages of other daemons wait until this one reads them, by messages
 * to itself, which wait behind them. While the wait is long, this daemon wants to get
 * only a share of the permit requests, so that it reads those in time. Times are
 * milliseconds of one clock. Not thread-safe.
 */
final class ReadDelay {

	/** Wait up to which all permit requests are wanted, in milliseconds. */
	static final long TARGET_MILLIS = 200;

	/** Interval between two probes, in milliseconds. */
	private static final long PROBE_INTERVAL_MILLIS = 100;

	/** Number of messages read between two probes below which none is sent. */
	private static final int MIN_MESSAGES = 5;

	/** Time after which a probe is taken for lost, in milliseconds. */
	private static final long PROBE_TIMEOUT_MILLIS = 5000;

	/** Part of the way to a smaller share that is taken in one interval. */
	private static final double DECREASE = 0.3;

	/** Factor by which the share grows in one interval. */
	private static final double INCREASE = 1.1;

	/** Smallest share. */
	private static final double MIN_SHARE = 0.05;

	/** Step of the share from which on a change is reported. */
	private static final int REPORTED_STEP_PERCENT = 25;

	private final DaemonId self;

	private final LongConsumer sender;

	private final TreeMap<Long, Long> sentAt = new TreeMap<>();

	private long nextSequence;

	private long probedAt;

	private int messages;

	private long measured;

	private double share = 1;

	private int reportedPercent = 100;

	/**
	 * Creates an instance for a daemon that reads messages in time.
	 * @param self the daemon
	 * @param sender sends a probe with a sequence number to this daemon
	 */
	ReadDelay(DaemonId self, LongConsumer sender) {
		this.self = self;
		this.sender = sender;
	}

	/**
	 * Counts a message of another daemon that was read.
	 */
	void messageRead() {
		this.messages++;
	}

	/**
	 * Measures the wait of a probe.
	 * @param sequence its sequence number
	 * @param now the current time
	 */
	void onProbe(long sequence, long now) {
		Long probeSentAt = this.sentAt.get(sequence);
		if (probeSentAt != null) {
			this.measured = now - probeSentAt;
			this.sentAt.headMap(sequence, true).clear();
		}
	}

	/**
	 * Runs the periodic work: probes, and adjusts the share.
	 * @param now the current time
	 * @return the share if it has changed by a step of {@value #REPORTED_STEP_PERCENT}
	 * percent
	 */
	Optional<RequestShareChange> tick(long now) {
		if (now - this.probedAt < PROBE_INTERVAL_MILLIS) {
			return Optional.empty();
		}
		this.probedAt = now;
		this.sentAt.values().removeIf((time) -> time < now - PROBE_TIMEOUT_MILLIS);
		if (this.messages >= MIN_MESSAGES) {
			this.messages = 0;
			this.sentAt.put(this.nextSequence, now);
			this.sender.accept(this.nextSequence++);
		}
		else if (this.sentAt.isEmpty()) {
			this.measured = 0;
		}
		adjustShare(now);
		return change(now);
	}

	private Optional<RequestShareChange> change(long now) {
		int percent = (int) Math.round(this.share * 100 / REPORTED_STEP_PERCENT) * REPORTED_STEP_PERCENT;
		if (percent == this.reportedPercent) {
			return Optional.empty();
		}
		this.reportedPercent = percent;
		return Optional.of(new RequestShareChange(percent, millis(now)));
	}

	private void adjustShare(long now) {
		double wanted = shareAtMillis(millis(now));
		this.share = (wanted < this.share) ? Math.max(MIN_SHARE, this.share + DECREASE * (wanted - this.share))
				: Math.min(Math.max(wanted, this.share), this.share * INCREASE);
	}

	private static double shareAtMillis(long delay) {
		double ratio = Math.min(1, (double) TARGET_MILLIS / Math.max(1, delay));
		return ratio * ratio;
	}

	/**
	 * Returns the wait of messages at a daemon that wants a share of permit requests.
	 * @param share the share, above 0 and at most 1
	 * @return milliseconds; 0 if it wants all
	 */
	static double millisAtShare(double share) {
		return (share < 1) ? TARGET_MILLIS / Math.sqrt(share) : 0;
	}

	private long millis(long now) {
		Map.Entry<Long, Long> oldest = this.sentAt.firstEntry();
		return (oldest != null) ? Math.max(this.measured, now - oldest.getValue()) : this.measured;
	}

	/**
	 * Returns the latest time at which a message that is read now can have arrived. A
	 * probe that was not read yet arrived after it.
	 * @param entry the daemon that sent it
	 * @param now the current time
	 * @return the time
	 */
	long arrivedBy(DaemonId entry, long now) {
		Map.Entry<Long, Long> oldest = this.sentAt.firstEntry();
		return (oldest == null || this.self.equals(entry)) ? now : oldest.getValue();
	}

	/**
	 * Returns the share of their permit requests that entries are to send.
	 * @return the share, above 0 and at most 1
	 */
	double requestShare() {
		return this.share;
	}

	/**
	 * Returns whether the periodic work has nothing to do until the next message.
	 * @return whether messages are read in time
	 */
	boolean isIdle() {
		return this.sentAt.isEmpty() && this.measured == 0 && this.share >= 1;
	}

}
