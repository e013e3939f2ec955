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

	private final AtomicReference<State> state = new AtomicReference<>(new State(RelayConfiguration.NONE, null));

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
		State next = this.state.updateAndGet((held) -> (configuration.version() < held.configuration.version()) ? held
				: held.with(configuration, ConfigurationProof.since(readStarted)));
		return next.configuration == configuration;
	}

	/**
	 * Notes that there was no newer configuration when a read began.
	 * @param readStarted when the read began
	 */
	public void confirm(ClockReading readStarted) {
		ConfigurationProof proof = ConfigurationProof.since(readStarted);
		this.state.updateAndGet((held) -> held.with(held.configuration, proof));
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
		State held = this.state.get();
		return !held.configuration.isNone() && held.proof != null
				&& held.proof.holds(this.clocks.read(), this.lifetime);
	}

	/**
	 * Returns whether a proof is probably close: nothing was read yet, or only the clocks
	 * have put the last read in doubt.
	 * @return whether it is of use to wait for a moment
	 */
	public boolean isProofExpected() {
		ConfigurationProof newest = this.state.get().proof;
		return newest == null || newest.isInDoubt(this.clocks.read());
	}

	/**
	 * Returns the age of the newest read.
	 * @return milliseconds; -1 if there was none
	 */
	public long proofAgeMillis() {
		State held = this.state.get();
		return (held.proof != null) ? held.proof.ageMillis(this.clocks.read()) : -1;
	}

	private record State(RelayConfiguration configuration, @Nullable ConfigurationProof proof) {

		private State with(RelayConfiguration newer, ConfigurationProof candidate) {
			boolean older = this.proof != null && candidate.isOlderThan(this.proof);
			return new State(newer, (older) ? this.proof : candidate);
		}

	}

}
