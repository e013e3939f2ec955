package org.sardineport.core.quarantine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.sardineport.core.backend.BackendProcess;

/**
 * Strikes against each suspect, by the process that crashed. Withdrawn strikes are
 * remembered until they expire. Bounded in the number of suspects. Not thread-safe.
 */
final class StrikeTable {

	/** Maximum number of suspects. */
	private static final int CAPACITY = 10_000;

	private final Map<Suspect, Map<BackendProcess, Expiry>> strikes = new HashMap<>();

	/** Suspects that were dropped since {@link #takeDropped()} was last called. */
	private final List<Suspect> dropped = new ArrayList<>();

	/**
	 * Adds a strike, or renews it.
	 * @param key the strike
	 * @param expires time from which it no longer counts
	 * @param now the current time
	 * @return whether it did not count before
	 */
	boolean put(StrikeKey key, Instant expires, Instant now) {
		Expiry known = of(key.suspect(), now).put(key.process(), new Expiry(expires, false));
		return known == null || !known.countsAt(now);
	}

	/**
	 * Adds a strike that is not known, and was not withdrawn.
	 * @param key the strike
	 * @param expires time from which it no longer counts
	 * @param now the current time
	 * @return whether it was added
	 */
	boolean putIfAbsent(StrikeKey key, Instant expires, Instant now) {
		return of(key.suspect(), now).putIfAbsent(key.process(), new Expiry(expires, false)) == null;
	}

	/**
	 * Withdraws a strike, also one that is not known yet.
	 * @param key the strike
	 * @param expires time from which it is forgotten
	 * @param now the current time
	 * @return whether it counted before
	 */
	boolean withdraw(StrikeKey key, Instant expires, Instant now) {
		Expiry former = of(key.suspect(), now).put(key.process(), new Expiry(expires, true));
		return former != null && former.countsAt(now);
	}

	private Map<BackendProcess, Expiry> of(Suspect suspect, Instant now) {
		if (this.strikes.size() >= CAPACITY) {
			expire(now);
		}
		return this.strikes.computeIfAbsent(suspect, (key) -> new HashMap<>());
	}

	/**
	 * Returns the processes whose strikes against a suspect count.
	 * @param suspect the suspect
	 * @param now the current time
	 * @return a new set
	 */
	Set<BackendProcess> processes(Suspect suspect, Instant now) {
		return counting(this.strikes.getOrDefault(suspect, Map.of()), now).collect(Collectors.toSet());
	}

	int count(Suspect suspect, Instant now) {
		return (int) counting(this.strikes.getOrDefault(suspect, Map.of()), now).count();
	}

	private static Stream<BackendProcess> counting(Map<BackendProcess, Expiry> byProcess, Instant now) {
		return byProcess.entrySet().stream().filter((strike) -> strike.getValue().countsAt(now)).map(Map.Entry::getKey);
	}

	/**
	 * Returns when a strike expires.
	 * @param suspect the suspect
	 * @param process the process of a strike that counts
	 * @return the time
	 */
	Instant expiry(Suspect suspect, BackendProcess process) {
		Expiry known = this.strikes.getOrDefault(suspect, Map.of()).get(process);
		return (known != null) ? known.at() : Instant.MIN;
	}

	/**
	 * Returns the suspects with strikes, among them some whose strikes no longer count.
	 * @return a view
	 */
	Collection<Suspect> suspects() {
		return this.strikes.keySet();
	}

	/**
	 * Drops expired strikes. If the capacity is still reached, a tenth of it is freed by
	 * dropping the suspects with the fewest strikes, and of these the ones whose strikes
	 * expire first.
	 * @param now the current time
	 */
	void expire(Instant now) {
		this.strikes.values().forEach((processes) -> processes.values().removeIf((strike) -> strike.hasPassed(now)));
		this.strikes.entrySet().removeIf((entry) -> entry.getValue().isEmpty() && this.dropped.add(entry.getKey()));
		if (this.strikes.size() >= CAPACITY) {
			List<Suspect> least = new ArrayList<>(this.strikes.keySet());
			least.sort(Comparator.<Suspect>comparingInt((suspect) -> count(suspect, now))
				.thenComparing(this::latestExpiry));
			least.subList(0, CAPACITY / 10).forEach(this::drop);
		}
	}

	private void drop(Suspect suspect) {
		this.strikes.remove(suspect);
		this.dropped.add(suspect);
	}

	/**
	 * Returns the suspects that were dropped since the last call.
	 * @return a copy
	 */
	List<Suspect> takeDropped() {
		List<Suspect> taken = List.copyOf(this.dropped);
		this.dropped.clear();
		return taken;
	}

	private Instant latestExpiry(Suspect suspect) {
		Optional<Instant> latest = this.strikes.getOrDefault(suspect, Map.of())
			.values()
			.stream()
			.map(Expiry::at)
			.max(Comparator.naturalOrder());
		return latest.orElse(Instant.MIN);
	}

	/**
	 * Until when a strike is remembered.
	 *
	 * @param at time from which it is forgotten
	 * @param withdrawn whether it no longer counts
	 */
	private record Expiry(Instant at, boolean withdrawn) {

		boolean countsAt(Instant now) {
			return !this.withdrawn && !hasPassed(now);
		}

		boolean hasPassed(Instant now) {
			return !this.at.isAfter(now);
		}

	}

}
