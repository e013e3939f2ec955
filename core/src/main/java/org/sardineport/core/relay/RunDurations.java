package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Durations of the latest runs of each route, from which the time that another run needs
 * is estimated. Not thread-safe.
 */
public final class RunDurations {

	/** Number of runs of a route that count. */
	private static final int SAMPLES = 32;

	/** One run in so many may take longer than estimated. */
	private static final int LONGER_SHARE = 16;

	/** Maximum number of routes; the one whose last run is longest ago is dropped. */
	private static final int MAX_ROUTES = 4096;

	private final Map<String, Samples> routes = new LinkedHashMap<>(16, 0.75F, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Samples> eldest) {
			return size() > MAX_ROUTES;
		}
	};

	private RunDurations() {
	}

	/**
	 * Returns durations without any run.
	 * @return the durations
	 */
	public static RunDurations create() {
		return new RunDurations();
	}

	/**
	 * Records a run that has ended.
	 * @param route name of the route
	 * @param duration time from the dispatch to the end of the response
	 */
	public void record(String route, Duration duration) {
		this.routes.computeIfAbsent(route, (name) -> new Samples()).add(duration.toMillis());
	}

	/**
	 * Returns a time within which nearly all of the latest runs of a route ended.
	 * @param route name of the route
	 * @return the time; empty if no run of the route has ended
	 */
	public Optional<Duration> estimate(String route) {
		return Optional.ofNullable(this.routes.get(route)).map((samples) -> Duration.ofMillis(samples.estimate()));
	}

	/**
	 * Ring of the latest durations, in milliseconds.
	 */
	private static final class Samples {

		private final int[] millis = new int[SAMPLES];

		private int count;

		private void add(long duration) {
			this.millis[this.count % SAMPLES] = (int) Math.min(Integer.MAX_VALUE, duration);
			this.count = (this.count + 1 < 2 * SAMPLES) ? this.count + 1 : SAMPLES;
		}

		private int estimate() {
			int[] sorted = Arrays.copyOf(this.millis, Math.min(this.count, SAMPLES));
			Arrays.sort(sorted);
			return sorted[sorted.length - 1 - (sorted.length - 1) / LONGER_SHARE];
		}

	}

}
