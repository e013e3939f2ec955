package org.sardineport.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.request.Fingerprint;

/**
 * Strikes against requests. A request is quarantined once it has strikes from enough
 * distinct backend servers. One backend server that dies therefore does not quarantine
 * the requests that ran on it concurrently. A complete response clears the strikes of a
 * request. Not thread-safe.
 */
public final class StrikeRegistry {

	/** Number of distinct backend servers whose strikes quarantine a request. */
	private static final int SERVERS_TO_QUARANTINE = 2;

	/** Time during which a strike counts. */
	private static final Duration STRIKE_LIFETIME = Duration.ofMinutes(10);

	/** Maximum number of fingerprints; those whose strikes expire first are dropped. */
	private static final int CAPACITY = 10_000;

	/** Number of times that a strike is sent to other daemons. */
	private static final int MAX_SHARES_PER_STRIKE = 12;

	private final Map<Fingerprint, Map<BackendServerId, Instant>> strikes = new HashMap<>();

	private final Map<Strike, Integer> shareCounts = new HashMap<>();

	private final QuarantineListener listener;

	private StrikeRegistry(QuarantineListener listener) {
		this.listener = Objects.requireNonNull(listener, "listener must not be null");
	}

	/**
	 * Returns a registry without strikes.
	 * @param listener receives the events
	 * @return the registry
	 */
	public static StrikeRegistry create(QuarantineListener listener) {
		return new StrikeRegistry(listener);
	}

	/**
	 * Adds a strike observed by this daemon.
	 * @param fingerprint fingerprint of the request
	 * @param server the backend server that died
	 * @param now the current time
	 */
	public void strike(Fingerprint fingerprint, BackendServerId server, Instant now) {
		boolean added = add(new Strike(fingerprint, server, now.plus(STRIKE_LIFETIME)), now);
		report((added) ? QuarantineEventKind.STRIKE_RECORDED : QuarantineEventKind.STRIKE_REPEATED, fingerprint, server,
				now);
		reportIfBegan(added, fingerprint, now);
	}

	/**
	 * Adds a strike received from another daemon. It counts no longer than a strike
	 * observed now. An expired strike is ignored.
	 * @param strike the strike
	 * @param now the current time
	 */
	public void accept(Strike strike, Instant now) {
		Instant latest = now.plus(STRIKE_LIFETIME);
		Instant expires = strike.expires().isAfter(latest) ? latest : strike.expires();
		if (!expires.isAfter(now)) {
			return;
		}
		Strike bounded = new Strike(strike.fingerprint(), strike.backendServer(), expires);
		if (add(bounded, now)) {
			report(QuarantineEventKind.STRIKE_RECEIVED, strike.fingerprint(), strike.backendServer(), now);
			reportIfBegan(true, strike.fingerprint(), now);
		}
	}

	private boolean add(Strike strike, Instant now) {
		if (this.strikes.size() >= CAPACITY) {
			expire(now);
		}
		Map<BackendServerId, Instant> servers = this.strikes.computeIfAbsent(strike.fingerprint(),
				(key) -> new HashMap<>());
		boolean added = !servers.containsKey(strike.backendServer());
		if (added) {
			this.shareCounts.put(strike, 0);
		}
		servers.merge(strike.backendServer(), strike.expires(), (old, other) -> old.isAfter(other) ? old : other);
		return added;
	}

	private void reportIfBegan(boolean added, Fingerprint fingerprint, Instant now) {
		if (added && activeExpiries(fingerprint, now).size() == SERVERS_TO_QUARANTINE) {
			report(QuarantineEventKind.BEGAN, fingerprint, null, now);
		}
	}

	private void report(QuarantineEventKind kind, Fingerprint fingerprint, @Nullable BackendServerId server,
			Instant now) {
		this.listener
			.onQuarantineEvent(new QuarantineEvent(kind, fingerprint, server, activeExpiries(fingerprint, now).size()));
	}

	/**
	 * Drops all strikes against a request, for use after a complete response.
	 * @param fingerprint the request
	 * @param now the current time
	 */
	public void clear(Fingerprint fingerprint, Instant now) {
		if (this.strikes.remove(fingerprint) != null) {
			report(QuarantineEventKind.CLEARED, fingerprint, null, now);
			this.shareCounts.keySet().removeIf((strike) -> strike.fingerprint().equals(fingerprint));
		}
	}

	/**
	 * Returns the end of a request's quarantine.
	 * @param fingerprint the request
	 * @param now the current time
	 * @return the time at which too few strikes remain, or empty if the request may run
	 */
	public Optional<Instant> quarantinedUntil(Fingerprint fingerprint, Instant now) {
		List<Instant> active = activeExpiries(fingerprint, now);
		return (active.size() < SERVERS_TO_QUARANTINE) ? Optional.empty()
				: Optional.of(active.get(SERVERS_TO_QUARANTINE - 1));
	}

	private List<Instant> activeExpiries(Fingerprint fingerprint, Instant now) {
		return this.strikes.getOrDefault(fingerprint, Map.of())
			.values()
			.stream()
			.filter((expires) -> expires.isAfter(now))
			.sorted(Comparator.reverseOrder())
			.toList();
	}

	/**
	 * Returns strikes to send to other daemons and counts them as sent.
	 * @param maximum maximum number of strikes to return
	 * @return the strikes, those sent least often first
	 */
	public List<Strike> toShare(int maximum) {
		List<Strike> chosen = this.shareCounts.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByValue())
			.limit(maximum)
			.map(Map.Entry::getKey)
			.toList();
		for (Strike strike : chosen) {
			int count = this.shareCounts.merge(strike, 1, Integer::sum);
			if (count >= MAX_SHARES_PER_STRIKE) {
				this.shareCounts.remove(strike);
			}
		}
		return chosen;
	}

	/**
	 * Drops expired strikes. If the capacity is still reached, a tenth of it is freed by
	 * dropping the fingerprints whose strikes expire first.
	 * @param now the current time
	 */
	public void expire(Instant now) {
		this.strikes.values().forEach((servers) -> servers.values().removeIf((expires) -> !expires.isAfter(now)));
		List<Fingerprint> expired = new ArrayList<>();
		this.strikes.entrySet().removeIf((entry) -> entry.getValue().isEmpty() && expired.add(entry.getKey()));
		this.shareCounts.keySet().removeIf((strike) -> !strike.expires().isAfter(now));
		if (this.strikes.size() >= CAPACITY) {
			List<Fingerprint> oldest = new ArrayList<>(this.strikes.keySet());
			oldest.sort(Comparator.comparing((fingerprint) -> latest(this.strikes.get(fingerprint))));
			List<Fingerprint> dropped = oldest.subList(0, CAPACITY / 10);
			dropped.forEach(this.strikes::remove);
			expired.addAll(dropped);
		}
		expired.forEach((fingerprint) -> report(QuarantineEventKind.EXPIRED, fingerprint, null, now));
	}

	private static Instant latest(Map<BackendServerId, Instant> servers) {
		return servers.values().stream().max(Comparator.naturalOrder()).orElse(Instant.MIN);
	}

}
