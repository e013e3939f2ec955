package org.sardineport.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.BackendServerId;

/**
 * Pauses that processes of backend servers have asked this daemon for, in which they are
 * sent no requests. Not thread-safe.
 */
public final class BackendPauses {

	/** Longest pause; a longer one is probably a mistake. */
	public static final Duration MAX_PAUSE = Duration.ofMinutes(5);

	/** Maximum number of processes; the one that asked first is dropped. */
	private static final int MAX_PROCESSES = 10_000;

	private final InstantSource clock;

	private final Map<BackendProcess, Instant> ends = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<BackendProcess, Instant> eldest) {
			return size() > MAX_PROCESSES;
		}

	};

	private BackendPauses(InstantSource clock) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
	}

	/**
	 * Returns pauses of which none was asked for.
	 * @param clock a monotonic clock, so that a change of the time of day has no effect
	 * @return the pauses
	 */
	public static BackendPauses create(InstantSource clock) {
		return new BackendPauses(clock);
	}

	/**
	 * Records that a process asks for a pause from now on. A pause that ends later stays.
	 * @param process the process
	 * @param asked how long; limited to {@link #MAX_PAUSE}
	 * @return whether the process was not paused before
	 */
	public boolean record(BackendProcess process, Duration asked) {
		if (asked.isNegative() || asked.isZero()) {
			return false;
		}
		boolean began = !isPaused(process);
		Instant end = this.clock.instant().plus((asked.compareTo(MAX_PAUSE) < 0) ? asked : MAX_PAUSE);
		this.ends.merge(process, end, (known, later) -> later.isAfter(known) ? later : known);
		return began;
	}

	/**
	 * Returns whether a process must not be sent requests now.
	 * @param process the process
	 * @return whether its pause has not ended
	 */
	public boolean isPaused(BackendProcess process) {
		Instant end = this.ends.get(process);
		return end != null && this.clock.instant().isBefore(end);
	}

	/**
	 * Returns which backend servers are paused now.
	 * @param servers the backend servers to choose from
	 * @return their names
	 */
	public Set<BackendServerId> among(Collection<BackendServer> servers) {
		return servers.stream()
			.filter((server) -> isPaused(server.process()))
			.map(BackendServer::id)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns whether any process is paused. Drops pauses that have ended.
	 * @return {@code false} if {@link #isPaused} is false for each process
	 */
	public boolean isAnyPaused() {
		Instant now = this.clock.instant();
		this.ends.values().removeIf((end) -> !now.isBefore(end));
		return !this.ends.isEmpty();
	}

	/**
	 * Returns the time until the first of some backend servers may be sent requests.
	 * @param servers the backend servers; at least one
	 * @return the time; zero if one of them is not paused
	 */
	public Duration untilFirst(Collection<BackendServer> servers) {
		Instant now = this.clock.instant();
		return servers.stream()
			.map((server) -> this.ends.getOrDefault(server.process(), now))
			.map((end) -> end.isAfter(now) ? Duration.between(now, end) : Duration.ZERO)
			.min(Duration::compareTo)
			.orElse(Duration.ZERO);
	}

}
