package org.sardineport.daemon.telemetry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;
import org.sardineport.core.request.Tier;

/**
 * The daemon's metrics. Metrics of all refusal reasons, retry reasons and tiers are
 * registered at creation, so that they are exported as zero before first use. Safe for
 * use by any thread.
 */
public final class Telemetry {

	private final MetricRegistry registry = new MetricRegistry();

	private final Map<String, BucketHistogram> stages = new ConcurrentHashMap<>();

	private Telemetry() {
		for (RefusalReason reason : RefusalReason.values()) {
			refused(reason);
			cut(reason);
		}
		for (RetryReason reason : RetryReason.values()) {
			retried(reason);
		}
		for (Tier tier : Tier.values()) {
			completed(tier);
			duration(tier);
			timeToFirstByte(tier);
		}
	}

	/**
	 * Returns metrics with a registry of their own.
	 * @return the metrics, with counters at zero
	 */
	public static Telemetry create() {
		return new Telemetry();
	}

	/**
	 * Returns the registry that holds all metrics.
	 * @return the registry
	 */
	public MetricRegistry registry() {
		return this.registry;
	}

	/**
	 * Returns the counter of requests refused for a reason.
	 * @param reason the reason
	 * @return the counter
	 */
	public Counter refused(RefusalReason reason) {
		return this.registry.counter("requests.refused." + reason.label());
	}

	/**
	 * Returns the counter of responses that had begun and were closed for a reason before
	 * they were complete.
	 * @param reason the reason
	 * @return the counter
	 */
	public Counter cut(RefusalReason reason) {
		return this.registry.counter("requests.cut." + reason.label());
	}

	/**
	 * Returns the counter of attempts retried for a reason.
	 * @param reason the reason
	 * @return the counter
	 */
	public Counter retried(RetryReason reason) {
		return this.registry.counter("requests.retried." + reason.label());
	}

	/**
	 * Returns the counter of requests with a complete response.
	 * @param tier the tier
	 * @return the counter
	 */
	public Counter completed(Tier tier) {
		return this.registry.counter("requests.completed." + tier.label());
	}

	/**
	 * Returns the timer from a request's arrival to the end of its response.
	 * @param tier the tier
	 * @return the timer
	 */
	public Timer duration(Tier tier) {
		return this.registry.timer("requests.duration." + tier.label());
	}

	/**
	 * Returns the timer from a request's arrival to the first byte of its response body.
	 * @param tier the tier
	 * @return the timer
	 */
	public Timer timeToFirstByte(Tier tier) {
		return this.registry.timer("requests.first-byte." + tier.label());
	}

	/**
	 * Returns the histogram of the time that requests spend in a stage.
	 * @param stage name of the stage
	 * @return the histogram
	 */
	public BucketHistogram stage(String stage) {
		return this.stages.computeIfAbsent(stage,
				(key) -> this.registry.register("requests.stage." + key, new BucketHistogram()));
	}

	/**
	 * Returns a counter by name, for events without a typed reason.
	 * @param name the name, with words joined by dots and dashes
	 * @return the counter
	 */
	public Counter counter(String name) {
		return this.registry.counter(name);
	}

}
