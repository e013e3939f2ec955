package org.sardineport.core.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.RequestId;

/**
 * Counts what runs on a backend server: the permits that are out, and load that other
 * owners or a former owner let in. A load report is late, so it only adds what exceeds
 * the most permits that were out lately. Not safe for use by several threads.
 */
final class RunningCount {

	/** Length of a span for which the most permits are kept, in milliseconds. */
	private static final long SPAN_MILLIS = 1000;

	/** Spans that a load report may be late. */
	private static final int SPANS = 4;

	private final Map<RequestId, Outstanding> permits = new LinkedHashMap<>();

	private final int[] most = new int[SPANS];

	private long span;

	private int foreign;

	private int top;

	RunningCount(long now) {
		this.span = now / SPAN_MILLIS;
	}

	void add(Outstanding out, long now) {
		advance(now);
		this.permits.put(out.ask().request(), out);
		this.top += (out.isTop()) ? 1 : 0;
		int index = (int) (this.span % SPANS);
		this.most[index] = Math.max(this.most[index], this.permits.size());
	}

	@Nullable Outstanding get(RequestId request) {
		return this.permits.get(request);
	}

	@Nullable Outstanding remove(RequestId request) {
		Outstanding out = this.permits.remove(request);
		if (out != null) {
			this.top -= (out.isTop()) ? 1 : 0;
		}
		return out;
	}

	void removeIf(Predicate<Outstanding> condition) {
		for (Outstanding out : this.permits.values().stream().filter(condition).toList()) {
			remove(out.ask().request());
		}
	}

	Stream<Outstanding> permits() {
		return this.permits.values().stream();
	}

	/**
	 * Takes what the backend server reports.
	 * @param load requests that it runs or has admitted
	 * @param now the current time
	 */
	void reported(int load, long now) {
		advance(now);
		int expected = this.permits.size();
		for (int each : this.most) {
			expected = Math.max(expected, each);
		}
		this.foreign = Math.max(0, load - expected);
	}

	private void advance(long now) {
		long current = now / SPAN_MILLIS;
		for (long next = Math.max(this.span + 1, current - SPANS + 1); next <= current; next++) {
			this.most[(int) (next % SPANS)] = this.permits.size();
		}
		this.span = Math.max(this.span, current);
	}

	int size() {
		return this.permits.size() + this.foreign;
	}

	int topSize() {
		return this.top;
	}

	boolean isLowerTierRunning() {
		return this.permits.size() > this.top;
	}

}
