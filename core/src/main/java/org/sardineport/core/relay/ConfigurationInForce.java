package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

/**
 * Holds the newest configuration that this daemon has read, and decides whether it is
 * recent enough to admit callers by their keys. The configuration is fresh for a fixed
 * lifetime after the start of the last successful read. Never reverts to an older
 * version: while the store holds an older one, because it came back from a copy, no read
 * of it proves anything. Thread-safe.
 */
public final class ConfigurationInForce {

	private final Duration lifetime;

	private final ClockPair clocks;

	private final AtomicReference<State> state = new AtomicReference<>(
			new State(RelayConfiguration.NONE, null, false, null, null, null));

	private ConfigurationInForce(Duration lifetime, ClockPair clocks) {
		this.lifetime = Objects.requireNonNull(lifetime, "lifetime must not be null");
		this.clocks = Objects.requireNonNull(clocks, "clocks must not be null");
	}

	/**
	 * Returns a holder without a configuration.
	 * @param lifetime time from the start of a read during which its result may be relied
	 * on, so that a revoked key is not accepted any longer than this
	 * @param clocks source of clock readings
	 * @return the holder
	 */
	public static ConfigurationInForce create(Duration lifetime, ClockPair clocks) {
		return new ConfigurationInForce(lifetime, clocks);
	}

	/**
	 * Installs a configuration that was the newest one when a read started.
	 * @param configuration the configuration
	 * @param readStarted clock reading at the start of the read
	 * @return {@code true} if it is now in force; {@code false} if a newer one is already
	 * held or known
	 */
	public boolean accept(RelayConfiguration configuration, ClockReading readStarted) {
		observe();
		ConfigurationFreshness freshness = ConfigurationFreshness.asOf(readStarted);
		State updated = this.state.updateAndGet((previous) -> previous.accepted(configuration, freshness));
		return updated.configuration == configuration;
	}

	/**
	 * Records that the store held no configuration.
	 */
	public void missing() {
		this.state.updateAndGet(State::behind);
	}

	/**
	 * Records that no newer configuration existed when a read started. Has no effect
	 * while the newest one in the store is older than one that was read before.
	 * @param readStarted clock reading at the start of the read
	 */
	public void confirm(ClockReading readStarted) {
		observe();
		ConfigurationFreshness freshness = ConfigurationFreshness.asOf(readStarted);
		this.state.updateAndGet((previous) -> previous.confirmed(freshness));
	}

	/**
	 * Records that the newest configuration when a read started cannot be read. The one
	 * before stays in force without the keys that the newest one does not have. If that
	 * is not known, it does not become fresh again. Has no effect on callers if it is
	 * older than one that was read before.
	 * @param version its version, or {@code null} if not known
	 * @param keys names of the organisations by their keys in the newest configuration,
	 * or {@code null} if not known
	 * @param readStarted clock reading at the start of the read
	 */
	public void supersede(@Nullable Long version, @Nullable Map<String, String> keys, ClockReading readStarted) {
		observe();
		ConfigurationFreshness freshness = ConfigurationFreshness.asOf(readStarted);
		this.state.updateAndGet((previous) -> previous.superseded(version, keys, freshness));
	}

	/**
	 * Returns whether the store holds an older configuration than one that was read
	 * before, or none.
	 * @return {@code true} until it holds that one again, or a newer one
	 */
	public boolean isStoreBehind() {
		return this.state.get().isStoreBehind;
	}

	/**
	 * Returns whether the configuration is the newest one. Otherwise no caller may be
	 * refused for good because of a route or key that it does not have.
	 * @return {@code false} if it is not fresh, or a newer one exists that cannot be read
	 */
	public boolean isNewest() {
		return isFresh() && !isSuperseded();
	}

	/**
	 * Returns whether a newer configuration exists that cannot be read.
	 * @return {@code true} until the next one is read
	 */
	public boolean isSuperseded() {
		return this.state.get().successor != null;
	}

	/**
	 * Compares the clocks with their last reading. If they disagree, the VM was suspended
	 * or its time of day was changed, and every read that started before is discarded as
	 * evidence of freshness. Called often, because two opposite steps between two calls
	 * cancel each other out.
	 * @return the current reading
	 */
	private ClockReading observe() {
		ClockReading now = this.clocks.read();
		this.state.updateAndGet((previous) -> previous.withReading(now));
		return now;
	}

	/**
	 * Returns the newest configuration, whether it is fresh or not.
	 * @return the configuration; {@link RelayConfiguration#NONE} before the first read
	 */
	public RelayConfiguration current() {
		return this.state.get().configuration;
	}

	/**
	 * Returns whether the configuration is fresh: every key that it contains was valid at
	 * most one lifetime ago, so that keys from it may be accepted.
	 * @return {@code true} if a read that started within the lifetime confirms the
	 * configuration
	 */
	public boolean isFresh() {
		ClockReading now = observe();
		State snapshot = this.state.get();
		return !snapshot.configuration.isNone() && snapshot.freshness != null
				&& snapshot.freshness.isValidAt(now, this.lifetime);
	}

	/**
	 * Returns whether the configuration is likely to become fresh soon: no read has
	 * completed yet, or the last read was discarded only because the clocks disagreed.
	 * @return {@code true} if waiting briefly is likely to help
	 */
	public boolean isRefreshExpected() {
		observe();
		return this.state.get().freshness == null;
	}

	/**
	 * Returns the time since the start of the newest read.
	 * @return the age in milliseconds; -1 if there is no valid read
	 */
	public long readAgeMillis() {
		State snapshot = this.state.get();
		return (snapshot.freshness != null) ? snapshot.freshness.ageMillis(this.clocks.read()) : -1;
	}

	/**
	 * A newer configuration that cannot be read.
	 *
	 * @param version its version, or {@code null} if not known
	 * @param areKeysKnown whether the keys in it are known
	 */
	private record Successor(@Nullable Long version, boolean areKeysKnown) {

	}

	/**
	 * Immutable snapshot of the configuration, its freshness and the last clock reading.
	 *
	 * @param configuration the newest configuration that can be read
	 * @param successor the newer one that cannot be read, or {@code null} if there is
	 * none
	 * @param isStoreBehind whether the store holds an older one than these
	 * @param freshness freshness established by the newest valid read, or {@code null} if
	 * there is none
	 * @param lastReading last reading of the clocks, or {@code null} before the first one
	 * @param trustedAfter reading at which the clocks last disagreed; only reads that
	 * started later are valid; {@code null} if they never disagreed
	 */
	private record State(RelayConfiguration configuration, @Nullable Successor successor, boolean isStoreBehind,
			@Nullable ConfigurationFreshness freshness, @Nullable ClockReading lastReading,
			@Nullable ClockReading trustedAfter) {

		private State withReading(ClockReading now) {
			if (this.lastReading != null && now.disagreesWith(this.lastReading)) {
				return new State(this.configuration, this.successor, this.isStoreBehind, null, now, now);
			}
			return new State(this.configuration, this.successor, this.isStoreBehind, this.freshness, now,
					this.trustedAfter);
		}

		private State accepted(RelayConfiguration newer, ConfigurationFreshness candidate) {
			return isOutdated(newer.version()) ? behind() : with(newer, null, candidate);
		}

		private boolean isOutdated(long version) {
			Successor known = this.successor;
			if (known == null || version < this.configuration.version()) {
				return version < this.configuration.version();
			}
			return (known.version != null) ? version < known.version : version == this.configuration.version();
		}

		private State behind() {
			return new State(this.configuration, this.successor, true, this.freshness, this.lastReading,
					this.trustedAfter);
		}

		private State confirmed(ConfigurationFreshness candidate) {
			boolean isUnknown = this.successor != null && !this.successor.areKeysKnown;
			return (isUnknown || this.isStoreBehind) ? this : with(this.configuration, this.successor, candidate);
		}

		private State superseded(@Nullable Long version, @Nullable Map<String, String> keys,
				ConfigurationFreshness candidate) {
			if (version != null && isOutdated(version)) {
				return behind();
			}
			Successor next = new Successor(version, keys != null);
			if (keys == null) {
				return new State(this.configuration, next, false, this.freshness, this.lastReading, this.trustedAfter);
			}
			return with(this.configuration.retainKeys(keys), next, candidate);
		}

		private State with(RelayConfiguration newer, @Nullable Successor next, ConfigurationFreshness candidate) {
			boolean trusted = this.trustedAfter == null || candidate.isNewerThan(this.trustedAfter);
			boolean notOlder = this.freshness == null || !candidate.isOlderThan(this.freshness);
			return new State(newer, next, false, (trusted && notOlder) ? candidate : this.freshness, this.lastReading,
					this.trustedAfter);
		}

	}

}
