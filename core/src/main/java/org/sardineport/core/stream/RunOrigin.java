package org.sardineport.core.stream;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.SoftwareVersion;

/**
 * What is known of the version that began one run. {@link #merge} is commutative,
 * associative and idempotent, so messages may be lost, repeated and reordered.
 *
 * @param run number of the run
 * @param state how much is known
 * @param version the version dispatched or confirmed; {@link SoftwareVersion#UNKNOWN} if
 * the state names none
 */
public record RunOrigin(int run, RunState state, SoftwareVersion version) {

	/**
	 * Creates the origin; states that name no version discard it.
	 */
	public RunOrigin {
		Objects.requireNonNull(state, "state must not be null");
		Objects.requireNonNull(version, "version must not be null");
		version = namesVersion(state) ? version : SoftwareVersion.UNKNOWN;
	}

	/**
	 * Returns the origin of a run of which an attempt was dispatched.
	 * @param run number of the run
	 * @param version version of the backend server
	 * @return the origin
	 */
	public static RunOrigin dispatched(int run, SoftwareVersion version) {
		return new RunOrigin(run, RunState.DISPATCHED, version);
	}

	/**
	 * Returns the origin of a run whose first event goes out.
	 * @param run number of the run
	 * @param version version of the backend server that sent the event
	 * @return the origin
	 */
	public static RunOrigin begun(int run, SoftwareVersion version) {
		return new RunOrigin(run, RunState.BEGUN, version);
	}

	/**
	 * Returns the origin of a run whose first event came from another process than the
	 * one listed, so that its version is not known.
	 * @param run number of the run
	 * @return the origin
	 */
	public static RunOrigin contradicted(int run) {
		return new RunOrigin(run, RunState.CONTRADICTORY, SoftwareVersion.UNKNOWN);
	}

	/**
	 * Combines two reports of the same run.
	 * @param other the other report
	 * @return what both know together
	 * @throws IllegalArgumentException if the other report is of another run
	 */
	public RunOrigin merge(RunOrigin other) {
		if (this.run != other.run) {
			throw new IllegalArgumentException("run must be %d, found %d".formatted(this.run, other.run));
		}
		if (this.state != other.state) {
			return (this.state.compareTo(other.state) > 0) ? this : other;
		}
		if (this.version.equals(other.version)) {
			return this;
		}
		RunState conflict = (this.state == RunState.DISPATCHED) ? RunState.SEVERAL : RunState.CONTRADICTORY;
		return new RunOrigin(this.run, conflict, SoftwareVersion.UNKNOWN);
	}

	/**
	 * Returns the version that began the run, as far as it is proved.
	 * @return the version or {@link StreamOrigin#AMBIGUOUS}
	 */
	public StreamOrigin origin() {
		return namesVersion(this.state) ? StreamOrigin.of(this.version) : StreamOrigin.AMBIGUOUS;
	}

	private static boolean namesVersion(RunState state) {
		return state == RunState.DISPATCHED || state == RunState.BEGUN;
	}

	// Explicit for faster start-up, see the documentation of package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof RunOrigin that && this.run == that.run && this.state == that.state
				&& this.version.equals(that.version);
	}

	@Override
	public int hashCode() {
		return 31 * this.run + this.version.hashCode();
	}

}
