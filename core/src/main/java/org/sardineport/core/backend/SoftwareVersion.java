package org.sardineport.core.backend;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Version of the software that a backend server runs. Streams of different versions
 * cannot be joined. Versions have no order; this is not the version of a model's weights.
 *
 * @param value the version as listed by the platform; empty for {@link #UNKNOWN}
 */
public record SoftwareVersion(String value) {

	/**
	 * Version of backend servers for which the platform lists none. All of them count as
	 * running the same version.
	 */
	public static final SoftwareVersion UNKNOWN = new SoftwareVersion("");

	/**
	 * Creates the version and checks that its text is present.
	 */
	public SoftwareVersion {
		Objects.requireNonNull(value, "value must not be null");
	}

	/**
	 * Returns the version with the given text.
	 * @param value the text; {@link #UNKNOWN} if empty
	 * @return the version
	 */
	public static SoftwareVersion of(String value) {
		return value.isEmpty() ? UNKNOWN : new SoftwareVersion(value);
	}

	/**
	 * Returns whether a backend server of this version may run a request.
	 * @param required the version that the request requires; {@code null} if it may run
	 * on any
	 * @return whether it may
	 */
	public boolean satisfies(@Nullable SoftwareVersion required) {
		return required == null || required.equals(this);
	}

	// Explicit for faster start-up, see the documentation of package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof SoftwareVersion that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public String toString() {
		return this.value;
	}

}
