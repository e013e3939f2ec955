package org.sardineport.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.request.Fingerprint;

/**
 * Strikes against requests. A request is quarantined once it has strikes of enough
 * distinct backend servers, so that a single dying one condemns none of those that ran
 * beside each other. A whole answer clears a request's strikes. Not safe for use by
 * several threads.
 */
public final class StrikeRegistry {

	/** Distinct backend servers whose strikes quarantine a request. */
	private static final int SERVERS_TO_QUARANTINE = 2;

	/** Time for which a strike counts. */
	private static final Duration LIFETIME = Duration.ofMinutes(10);

	/** Most fingerprints remembered; those whose strikes expire first are dropped. */
	private static final int CAPACITY = 10_000;

	/** Times that a strike is told to others. */
	private static final int TIMES_TO_SHARE = 12;

	private final Map<Fingerprint, Map<BackendServerId, Instant>> strikes = new HashMap<>();

	private final Map<Strike, Integer> timesShared = new HashMap<>();

	private StrikeRegistry() {
	}

	/**
	 * Returns a registry without strikes.
	 * @return the registry
	 */
	public static StrikeRegistry create() {
		return new StrikeRegistry();
	}

	/**
	 * Enters a strike seen by this daemon.
	 * @param fingerprint the request
	 * @param server the backend server that died
	 * @param now the current time
	 */
	public void strike(Fingerprint fingerprint, BackendServerId server, Instant now) {
		accept(new Strike(fingerprint, server, now.plus(LIFETIME)), now);
	}

	/**
	 * Enters a strike that another daemon told.
	 * @param strike the strike
	 * @param now the current time
	 */
	public void accept(Strike strike, Instant now) {
		Instant latest = now.plus(LIFETIME);
		Instant expires = strike.expires().isAfter(latest) ? latest : strike.expires();
		if (!expires.isAfter(now)) {
			return;
		}
		if (this.strikes.size() >= CAPACITY) {
			expire(now);
		}
		Map<BackendServerId, Instant> servers = this.strikes.computeIfAbsent(strike.fingerprint(),
				(key) -> new HashMap<>());
		if (!servers.containsKey(strike.backendServer())) {
			this.timesShared.put(new Strike(strike.fingerprint(), strike.backendServer(), expires), 0);
		}
		servers.merge(strike.backendServer(), expires, (old, added) -> old.isAfter(added) ? old : added);
	}

	/**
	 * Drops what is known against a request, as it got a whole answer.
	 * @param fingerprint the request
	 */
	public void clear(Fingerprint fingerprint) {
		if (this.strikes.remove(fingerprint) != null) {
			this.timesShared.keySet().removeIf((strike) -> strike.fingerprint().equals(fingerprint));
		}
	}

	/**
	 * Returns until when a request is quarantined.
	 * @param fingerprint the request
	 * @param now the current time
	 * @return the end of its quarantine, or empty if it may run
	 */
	public Optional<Instant> quarantinedUntil(Fingerprint fingerprint, Instant now) {
		Map<BackendServerId, Instant> servers = this.strikes.get(fingerprint);
		if (servers == null) {
			return Optional.empty();
		}
		List<Instant> live = servers.values()
			.stream()
			.filter((expires) -> expires.isAfter(now))
			.sorted(Comparator.reverseOrder())
			.toList();
		return (live.size() < SERVERS_TO_QUARANTINE) ? Optional.empty()
				: Optional.of(live.get(SERVERS_TO_QUARANTINE - 1));
	}

	/**
	 * Returns strikes to tell others and counts them as told.
	 * @param most most strikes to return
	 * @return those told least often
	 */
	public List<Strike> toShare(int most) {
		List<Strike> chosen = this.timesShared.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByValue())
			.limit(most)
			.map(Map.Entry::getKey)
			.toList();
		for (Strike strike : chosen) {
			int times = this.timesShared.merge(strike, 1, Integer::sum);
			if (times >= TIMES_TO_SHARE) {
				this.timesShared.remove(strike);
			}
		}
		return chosen;
	}

	/**
	 * Drops strikes that have expired, and the oldest beyond the capacity.
	 * @param now the current time
	 */
	public void expire(Instant now) {
		this.strikes.values().forEach((servers) -> servers.values().removeIf((expires) -> !expires.isAfter(now)));
		this.strikes.values().removeIf(Map::isEmpty);
		this.timesShared.keySet().removeIf((strike) -> !strike.expires().isAfter(now));
		if (this.strikes.size() >= CAPACITY) {
			List<Fingerprint> oldest = new ArrayList<>(this.strikes.keySet());
			oldest.sort(Comparator.comparing((fingerprint) -> latest(this.strikes.get(fingerprint))));
			oldest.subList(0, CAPACITY / 10).forEach(this.strikes::remove);
		}
	}

	private static Instant latest(Map<BackendServerId, Instant> servers) {
		return servers.values().stream().max(Comparator.naturalOrder()).orElse(Instant.MIN);
	}

}
