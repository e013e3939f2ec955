package org.sardineport.daemon.relay;

import java.time.InstantSource;
import java.util.Objects;

import org.sardineport.daemon.telemetry.BucketHistogram;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Time that one request spends in each {@link RequestStage}. Each end of a stage is
 * recorded in the histogram of the stage. Times are in milliseconds of one clock; those
 * before the latest recorded end count as zero. Confined to the event loop.
 */
final class StageTimes {

	private static final RequestStage[] STAGES = RequestStage.values();

	private final Telemetry telemetry;

	private final InstantSource clock;

	private final long[] millis = new long[STAGES.length];

	private long latestEnd;

	/**
	 * Creates times of a request whose first stage begins.
	 * @param telemetry holds the histograms
	 * @param clock a monotonic clock
	 * @param beganAt when it began
	 */
	StageTimes(Telemetry telemetry, InstantSource clock, long beganAt) {
		this.telemetry = Objects.requireNonNull(telemetry, "telemetry must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.latestEnd = beganAt;
	}

	/**
	 * Records that a stage ends now.
	 * @param stage the stage, which began when the one before it ended
	 */
	void ended(RequestStage stage) {
		ended(stage, this.clock.millis());
	}

	/**
	 * Records when a stage ended.
	 * @param stage the stage, which began when the one before it ended
	 * @param at the time of its end
	 */
	void ended(RequestStage stage, long at) {
		long duration = Math.max(0, at - this.latestEnd);
		this.latestEnd = Math.max(this.latestEnd, at);
		this.millis[stage.ordinal()] += duration;
		histogram(stage).record(duration);
	}

	private BucketHistogram histogram(RequestStage stage) {
		return this.telemetry.stage(stage.label());
	}

	/**
	 * Formats the stages that took a millisecond or more.
	 * @return pairs of label and milliseconds, joined by commas; {@code "-"} for none
	 */
	@Override
	public String toString() {
		StringBuilder text = new StringBuilder();
		for (RequestStage stage : STAGES) {
			long spent = this.millis[stage.ordinal()];
			if (spent > 0) {
				text.append((text.length() > 0) ? "," : "").append(stage.label()).append(':').append(spent);
			}
		}
		return (text.length() > 0) ? text.toString() : "-";
	}

}
