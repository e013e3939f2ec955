package org.sardineport.core.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * What is known of all runs under one key. Immutable; {@link #merge} is commutative,
 * associative and idempotent up to the order of the runs.
 *
 * @param runs at most {@link #MAXIMUM_RUNS} runs, each once
 * @param isTruncated whether there were more runs than are kept
 */
public record StreamRecord(List<RunOrigin> runs, boolean isTruncated) {

	/** Maximum number of runs kept of a key; a key with more is ambiguous. */
	public static final int MAXIMUM_RUNS = 8;

	/** Record of a key of which nothing is known. */
	public static final StreamRecord EMPTY = new StreamRecord(List.of(), false);

	/**
	 * Creates the record from a copy of the list.
	 * @throws IllegalArgumentException if there are too many runs
	 */
	public StreamRecord {
		runs = List.copyOf(runs);
		if (runs.size() > MAXIMUM_RUNS) {
			throw new IllegalArgumentException(
					"runs must be at most %d, found %d".formatted(MAXIMUM_RUNS, runs.size()));
		}
	}

	/**
	 * Returns the record of a single run.
	 * @param run the run
	 * @return the record
	 */
	public static StreamRecord of(RunOrigin run) {
		return new StreamRecord(List.of(run), false);
	}

	/**
	 * Adds what another record of the same key tells.
	 * @param other the other record
	 * @return what both know together
	 */
	public StreamRecord merge(StreamRecord other) {
		List<RunOrigin> merged = new ArrayList<>(this.runs);
		boolean truncated = this.isTruncated || other.isTruncated;
		for (RunOrigin run : other.runs) {
			truncated |= !add(merged, run);
		}
		return new StreamRecord(merged, truncated);
	}

	private static boolean add(List<RunOrigin> merged, RunOrigin added) {
		for (int i = 0; i < merged.size(); i++) {
			if (merged.get(i).run() == added.run()) {
				merged.set(i, merged.get(i).merge(added));
				return true;
			}
		}
		return merged.size() < MAXIMUM_RUNS && merged.add(added);
	}

	/**
	 * Returns what is known of one run.
	 * @param number number of the run
	 * @return the run, or empty if it is not in the record
	 */
	public Optional<RunOrigin> run(int number) {
		return this.runs.stream().filter((run) -> run.run() == number).findFirst();
	}

	/**
	 * Returns whether the first event of one of the runs is known to have gone out.
	 * @return whether one has begun
	 */
	public boolean hasBegun() {
		return this.runs.stream().anyMatch((run) -> run.state() == RunState.BEGUN);
	}

	/**
	 * Returns whether attempts were dispatched and it may still become known which of
	 * them brought the first event.
	 * @return {@code false} also if nothing is known, or if a report contradicts another
	 */
	public boolean isBeginAwaited() {
		return !this.runs.isEmpty() && !this.isTruncated
				&& this.runs.stream().allMatch((run) -> run.state().compareTo(RunState.BEGUN) < 0);
	}

	/**
	 * Returns the version that began every stream of the key.
	 * @return the version; {@link StreamOrigin#AMBIGUOUS} if runs differ or one of them
	 * is ambiguous; {@link StreamOrigin#UNKNOWN} if there is no run
	 */
	public StreamOrigin origin() {
		if (this.isTruncated) {
			return StreamOrigin.AMBIGUOUS;
		}
		StreamOrigin common = StreamOrigin.UNKNOWN;
		for (RunOrigin run : this.runs) {
			StreamOrigin origin = run.origin();
			if (common != StreamOrigin.UNKNOWN && !common.equals(origin)) {
				return StreamOrigin.AMBIGUOUS;
			}
			common = origin;
		}
		return common;
	}

	// Explicit for faster start-up, see the documentation of package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof StreamRecord that && this.isTruncated == that.isTruncated
				&& this.runs.equals(that.runs);
	}

	@Override
	public int hashCode() {
		return this.runs.hashCode();
	}

}
