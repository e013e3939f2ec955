package org.sardineport.core.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.RequestId;

/**
 * Tracks the requests on a backend server: outstanding permits, and load admitted by
 * other or former owners. Because a load report lags behind, it adds only the load that
 * exceeds the recent peak of outstanding permits. Not thread-safe.
 */
final class ServerOccupancy {

	/**
	 * Length of an interval for which the peak number of permits is kept, in
	 * milliseconds.
	 */
	private static final long INTERVAL_MILLIS = 1000;

	/** Number of intervals that a load report may lag behind. */
	private static final int INTERVALS = 4;

	private final Map<RequestId, OutstandingPermit> permits = new LinkedHashMap<>();

	private final int[] peaks = new int[INTERVALS];

	private long interval;

	private int foreignLoad;

	private int topTierPermits;

	ServerOccupancy(long now) {
		this.interval = now / INTERVAL_MILLIS;
	}

	void add(OutstandingPermit permit, long now) {
		advance(now);
		this.permits.put(permit.permitRequest().request(), permit);
		this.topTierPermits += (permit.isTop()) ? 1 : 0;
		int index = (int) (this.interval % INTERVALS);
		this.peaks[index] = Math.max(this.peaks[index], this.permits.size());
	}

	@Nullable OutstandingPermit get(RequestId request) {
		return this.permits.get(request);
	}

	@Nullable OutstandingPermit remove(RequestId request) {
		OutstandingPermit permit = this.permits.remove(request);
		if (permit != null) {
			this.topTierPermits -= (permit.isTop()) ? 1 : 0;
		}
		return permit;
	}

	void removeIf(Predicate<OutstandingPermit> condition) {
		for (OutstandingPermit permit : this.permits.values().stream().filter(condition).toList()) {
			remove(permit.permitRequest().request());
		}
	}

	Stream<OutstandingPermit> permits() {
		return this.permits.values().stream();
	}

	/**
	 * Updates the load admitted by others from a load report.
	 * @param load requests that the backend server runs or has admitted
	 * @param now the current time
	 */
	void onLoadReport(int load, long now) {
		advance(now);
		int expected = this.permits.size();
		for (int peak : this.peaks) {
			expected = Math.max(expected, peak);
		}
		this.foreignLoad = Math.max(0, load - expected);
	}

	private void advance(long now) {
		long current = now / INTERVAL_MILLIS;
		for (long next = Math.max(this.interval + 1, current - INTERVALS + 1); next <= current; next++) {
			this.peaks[(int) (next % INTERVALS)] = this.permits.size();
		}
		this.interval = Math.max(this.interval, current);
	}

	int size() {
		return this.permits.size() + this.foreignLoad;
	}

	int topTierSize() {
		return this.topTierPermits;
	}

	boolean isLowerTierRunning() {
		return this.permits.size() > this.topTierPermits;
	}

}
