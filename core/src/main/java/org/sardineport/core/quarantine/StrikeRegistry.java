package org.sardineport.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.request.Fingerprint;

/**
 * Strikes against requests, and the requests that are quarantined because of them. Every
 * request that ran on a process when it crashed has a strike, though at most one of them
 * is to blame. A request is therefore quarantined with
 * <ul>
 * <li>{@value #MIN_STRIKES_IF_UNAMBIGUOUS} strikes, if no other request has strikes from
 * as many of the same processes,</li>
 * <li>{@value #MIN_STRIKES_IF_AMBIGUOUS} strikes otherwise.</li>
 * </ul>
 * A success proves that a request crashes nothing, and withdraws its strikes. Not
 * thread-safe.
 */
public final class StrikeRegistry {

	/** Time during which a strike counts. */
	public static final Duration STRIKE_LIFETIME = Duration.ofMinutes(10);

	/** Number of strikes that quarantine a request if no other can be to blame. */
	private static final int MIN_STRIKES_IF_UNAMBIGUOUS = 2;

	/** Number of strikes that quarantine a request even if another may be to blame. */
	private static final int MIN_STRIKES_IF_AMBIGUOUS = 3;

	/** Maximum number of requests with strikes. */
	private static final int CAPACITY = 10_000;

	private final Map<Fingerprint, Map<BackendProcess, Expiry>> strikes = new HashMap<>();

	private final Consumer<QuarantineEvent> listener;

	private StrikeRegistry(Consumer<QuarantineEvent> listener) {
		this.listener = Objects.requireNonNull(listener, "listener must not be null");
	}

	/**
	 * Returns a registry without strikes.
	 * @param listener receives the events, on the calling thread
	 * @return the registry
	 */
	public static StrikeRegistry create(Consumer<QuarantineEvent> listener) {
		return new StrikeRegistry(listener);
	}

	/**
	 * Records a strike observed by this daemon.
	 * @param key the request and the process that crashed
	 * @param now the current time
	 * @return the strike to share with the other daemons, or empty if it was known
	 */
	public Optional<Strike> record(StrikeKey key, Instant now) {
		boolean quarantined = isQuarantined(key.fingerprint(), now);
		Strike strike = new Strike(key, now.plus(STRIKE_LIFETIME));
		Expiry known = strikesOf(key.fingerprint(), now).put(key.process(), new Expiry(strike.expires(), false));
		boolean added = known == null || !known.countsAt(now);
		report((added) ? QuarantineEventKind.STRIKE_RECORDED : QuarantineEventKind.STRIKE_REPEATED, key, now);
		reportIfBegan(quarantined, key.fingerprint(), now);
		return (added) ? Optional.of(strike) : Optional.empty();
	}

	/**
	 * Adds a strike received from another daemon. It counts no longer than one observed
	 * now. Ignored if it is known, was withdrawn or has expired.
	 * @param strike the strike
	 * @param now the current time
	 */
	public void accept(Strike strike, Instant now) {
		Instant latest = now.plus(STRIKE_LIFETIME);
		Instant expires = strike.expires().isAfter(latest) ? latest : strike.expires();
		if (!expires.isAfter(now)) {
			return;
		}
		boolean quarantined = isQuarantined(strike.fingerprint(), now);
		Expiry known = strikesOf(strike.fingerprint(), now).putIfAbsent(strike.process(), new Expiry(expires, false));
		if (known == null) {
			report(QuarantineEventKind.STRIKE_RECEIVED, strike.key(), now);
			reportIfBegan(quarantined, strike.fingerprint(), now);
		}
	}

	private Map<BackendProcess, Expiry> strikesOf(Fingerprint fingerprint, Instant now) {
		if (this.strikes.size() >= CAPACITY) {
			expire(now);
		}
		return this.strikes.computeIfAbsent(fingerprint, (key) -> new HashMap<>());
	}

	/**
	 * Withdraws all strikes against a request, for use after a success.
	 * @param fingerprint the request
	 * @param now the current time
	 * @return keys of the strikes that counted until now
	 */
	public List<StrikeKey> clear(Fingerprint fingerprint, Instant now) {
		List<StrikeKey> cleared = this.strikes.getOrDefault(fingerprint, Map.of())
			.entrySet()
			.stream()
			.filter((strike) -> strike.getValue().countsAt(now))
			.map((strike) -> new StrikeKey(fingerprint, strike.getKey()))
			.toList();
		withdraw(cleared, now);
		return cleared;
	}

	/**
	 * Withdraws strikes. They are remembered until they expire, so that they do not count
	 * if they are received once more.
	 * @param keys the strikes
	 * @param now the current time
	 */
	public void withdraw(Collection<StrikeKey> keys, Instant now) {
		for (StrikeKey key : keys) {
			Expiry former = strikesOf(key.fingerprint(), now).put(key.process(),
					new Expiry(now.plus(STRIKE_LIFETIME), true));
			if (former != null && former.countsAt(now)) {
				report(QuarantineEventKind.CLEARED, key, now);
			}
		}
	}

	/**
	 * Returns the end of a request's quarantine.
	 * @param fingerprint the request
	 * @param now the current time
	 * @return the time at which too few strikes remain, or empty if the request may run
	 */
	public Optional<Instant> quarantinedUntil(Fingerprint fingerprint, Instant now) {
		List<Instant> expiries = this.strikes.getOrDefault(fingerprint, Map.of())
			.values()
			.stream()
			.filter((strike) -> strike.countsAt(now))
			.map(Expiry::at)
			.sorted(Comparator.reverseOrder())
			.toList();
		if (expiries.size() < MIN_STRIKES_IF_UNAMBIGUOUS) {
			return Optional.empty();
		}
		int needed = isUnambiguous(fingerprint, now) ? MIN_STRIKES_IF_UNAMBIGUOUS : MIN_STRIKES_IF_AMBIGUOUS;
		return (expiries.size() < needed) ? Optional.empty() : Optional.of(expiries.get(needed - 1));
	}

	private boolean isQuarantined(Fingerprint fingerprint, Instant now) {
		return quarantinedUntil(fingerprint, now).isPresent();
	}

	private boolean isUnambiguous(Fingerprint fingerprint, Instant now) {
		Map<BackendProcess, Expiry> own = this.strikes.getOrDefault(fingerprint, Map.of());
		return this.strikes.entrySet()
			.stream()
			.filter((other) -> !other.getKey().equals(fingerprint))
			.noneMatch((other) -> sharedStrikes(own, other.getValue(), now) >= MIN_STRIKES_IF_UNAMBIGUOUS);
	}

	private static long sharedStrikes(Map<BackendProcess, Expiry> own, Map<BackendProcess, Expiry> other, Instant now) {
		return own.entrySet()
			.stream()
			.filter((strike) -> strike.getValue().countsAt(now))
			.map((strike) -> other.get(strike.getKey()))
			.filter((shared) -> shared != null && shared.countsAt(now))
			.count();
	}

	/**
	 * Drops expired strikes. If the capacity is still reached, a tenth of it is freed by
	 * dropping the requests with the fewest strikes, and of these the ones whose strikes
	 * expire first.
	 * @param now the current time
	 */
	public void expire(Instant now) {
		List<Fingerprint> dropped = new ArrayList<>();
		this.strikes.values().forEach((processes) -> processes.values().removeIf((strike) -> strike.hasPassed(now)));
		this.strikes.entrySet().removeIf((entry) -> entry.getValue().isEmpty() && dropped.add(entry.getKey()));
		if (this.strikes.size() >= CAPACITY) {
			List<Fingerprint> least = new ArrayList<>(this.strikes.keySet());
			least.sort(Comparator.<Fingerprint>comparingInt((fingerprint) -> count(fingerprint, now))
				.thenComparing(this::latestExpiry));
			dropped.addAll(least.subList(0, CAPACITY / 10));
			dropped.forEach(this.strikes::remove);
		}
		dropped.forEach((fingerprint) -> report(QuarantineEventKind.EXPIRED, fingerprint, null, now));
	}

	private Instant latestExpiry(Fingerprint fingerprint) {
		return this.strikes.getOrDefault(fingerprint, Map.of())
			.values()
			.stream()
			.map(Expiry::at)
			.max(Comparator.naturalOrder())
			.orElse(Instant.MIN);
	}

	private int count(Fingerprint fingerprint, Instant now) {
		return (int) this.strikes.getOrDefault(fingerprint, Map.of())
			.values()
			.stream()
			.filter((strike) -> strike.countsAt(now))
			.count();
	}

	private void reportIfBegan(boolean before, Fingerprint fingerprint, Instant now) {
		if (!before && isQuarantined(fingerprint, now)) {
			report(QuarantineEventKind.BEGAN, fingerprint, null, now);
		}
	}

	private void report(QuarantineEventKind kind, StrikeKey key, Instant now) {
		report(kind, key.fingerprint(), key.process().server(), now);
	}

	private void report(QuarantineEventKind kind, Fingerprint fingerprint, @Nullable BackendServerId server,
			Instant now) {
		this.listener.accept(new QuarantineEvent(kind, fingerprint, server, count(fingerprint, now)));
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
