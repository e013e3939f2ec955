package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Request that holds memory before it is complete.
 *
 * @param <T> type of the request
 * @param request the request
 * @param bytes memory reserved for it
 * @param stalledFor time since its caller has sent anything
 */
public record MemoryHolder<T>(T request, long bytes, Duration stalledFor) {

	/** Time without a byte after which a request may be given up for others. */
	static final Duration MIN_STALL = Duration.ofSeconds(2);

	/**
	 * Creates a holder.
	 */
	public MemoryHolder {
		Objects.requireNonNull(request, "request must not be null");
		Objects.requireNonNull(stalledFor, "stalledFor must not be null");
	}

	/**
	 * Chooses the request that is given up when memory is short: the one that has held
	 * the most for the longest without progress.
	 * @param <T> type of the request
	 * @param holders the requests that are not complete
	 * @return the request; empty if each has made progress lately
	 */
	public static <T> Optional<T> worst(List<MemoryHolder<T>> holders) {
		return holders.stream()
			.filter((holder) -> holder.bytes > 0 && holder.stalledFor.compareTo(MIN_STALL) >= 0)
			.max(Comparator.comparingLong((holder) -> holder.bytes * holder.stalledFor.toMillis()))
			.map(MemoryHolder::request);
	}

}
