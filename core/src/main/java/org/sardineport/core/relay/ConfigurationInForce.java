package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

/**
 * The newest configuration that this daemon has read, and whether that is recent enough
 * to let callers in by their keys. Never goes back to an older version. Safe for use by
 * any thread.
 */
public final class ConfigurationInForce {

	private final Duration lifetime;

	private final ClockPair clocks;

	private final AtomicReference<State> state = new AtomicReference<>(
			new State(RelayConfiguration.NONE, null, null, null));

	private ConfigurationInForce(Duration lifetime, ClockPair clocks) {
		this.lifetime = Objects.requireNonNull(lifetime, "lifetime must not be null");
		this.clocks = Objects.requireNonNull(clocks, "clocks must not be null");
	}

	/**
	 * Returns a holder without a configuration.
	 * @param lifetime time for which a read proves that no key was taken away
	 * @param clocks both clocks
	 * @return the holder
	 */
	public static ConfigurationInForce create(Duration lifetime, ClockPair clocks) {
		return new ConfigurationInForce(lifetime, clocks);
	}

	/**
	 * Takes a configuration that was the newest one when a read began.
	 * @param configuration the configuration
	 * @param readStarted when the read began
	 * @return whether it is now in force; {@code false} if a newer one was known
	 */
	public boolean accept(RelayConfiguration configuration, ClockReading readStarted) {
		observe();
		State next = this.state.updateAndGet((held) -> (configuration.version() < held.configuration.version()) ? held
				: held.with(configuration, ConfigurationProof.since(readStarted)));
		return next.configuration == configuration;
	}

	/**
	 * Notes that there was no newer configuration when a read began.
	 * @param readStarted when the read began
	 */
	public void confirm(ClockReading readStarted) {
		observe();
		ConfigurationProof proof = ConfigurationProof.since(readStarted);
		this.state.updateAndGet((held) -> held.with(held.configuration, proof));
	}

	/**
	 * Compares the clocks with what they showed last. Where they went apart, the VM was
	 * suspended or its time of day was set, and no read that began before proves anything
	 * any more. Called often, so that two such steps do not hide each other.
	 * @return what the clocks show
	 */
	private ClockReading observe() {
		ClockReading now = this.clocks.read();
		this.state.updateAndGet((held) -> held.observed(now));
		return now;
	}

	/**
	 * Returns the newest configuration.
	 * @return the configuration, {@link RelayConfiguration#NONE} before the first
	 */
	public RelayConfiguration current() {
		return this.state.get().configuration;
	}

	/**
	 * Returns whether no key can have been taken away so long ago that it must not count
	 * any more.
	 * @return whether the configuration is proved to be recent
	 */
	public boolean isProved() {
		ClockReading now = observe();
		State held = this.state.get();
		return !held.configuration.isNone() && held.proof != null && held.proof.holds(now, this.lifetime);
	}

	/**
	 * Returns whether a proof is probably close: nothing was read yet, or only the clocks
	 * have put the last read in doubt.
	 * @return whether it is of use to wait for a moment
	 */
	public boolean isProofExpected() {
		observe();
		return this.state.get().proof == null;
	}

	/**
	 * Returns the age of the newest read.
	 * @return milliseconds; -1 if there was none that counts
	 */
	public long proofAgeMillis() {
		State held = this.state.get();
		return (held.proof != null) ? held.proof.ageMillis(this.clocks.read()) : -1;
	}

	/**
	 * What is known at one moment.
	 *
	 * @param configuration the newest configuration
	 * @param proof the newest proof, or {@code null} if there is none that counts
	 * @param seen what the clocks showed last, or {@code null} before the first look
	 * @param trustedSince reads that did not begin after this do not count, or
	 * {@code null}
	 */
	private record State(RelayConfiguration configuration, @Nullable ConfigurationProof proof,
			@Nullable ClockReading seen, @Nullable ClockReading trustedSince) {

		private State observed(ClockReading now) {
			if (this.seen != null && now.isApartFrom(this.seen)) {
				return new State(this.configuration, null, now, now);
			}
			return new State(this.configuration, this.proof, now, this.trustedSince);
		}

		private State with(RelayConfiguration newer, ConfigurationProof candidate) {
			boolean counts = this.trustedSince == null || candidate.isNewerThan(this.trustedSince);
			boolean newest = this.proof == null || !candidate.isOlderThan(this.proof);
			return new State(newer, (counts && newest) ? candidate : this.proof, this.seen, this.trustedSince);
		}

	}

}
