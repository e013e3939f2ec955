package org.sardineport.core.stream;

import java.util.Objects;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.SoftwareVersion;

/**
 * What is known of the software version that began a stream: nothing, several versions of
 * which none is proved, or one version. Only one version permits the stream to go on.
 */
public final class StreamOrigin {

	/** No daemon that answered has heard of the stream. */
	public static final StreamOrigin UNKNOWN = new StreamOrigin(null);

	/** Several versions may have begun the stream. */
	public static final StreamOrigin AMBIGUOUS = new StreamOrigin(null);

	private final @Nullable SoftwareVersion version;

	private StreamOrigin(@Nullable SoftwareVersion version) {
		this.version = version;
	}

	/**
	 * Returns the origin of a stream that one version began.
	 * @param version the version
	 * @return the origin
	 */
	public static StreamOrigin of(SoftwareVersion version) {
		return new StreamOrigin(Objects.requireNonNull(version, "version must not be null"));
	}

	/**
	 * Returns the version that began the stream.
	 * @return the version, or empty if it is unknown or ambiguous
	 */
	public Optional<SoftwareVersion> version() {
		return Optional.ofNullable(this.version);
	}

	@Override
	public boolean equals(@Nullable Object other) {
		if (this.version == null) {
			return this == other;
		}
		return other instanceof StreamOrigin that && this.version.equals(that.version);
	}

	@Override
	public int hashCode() {
		return (this.version != null) ? this.version.hashCode() : System.identityHashCode(this);
	}

	@Override
	public String toString() {
		if (this.version != null) {
			return "version " + this.version;
		}
		return (this == UNKNOWN) ? "unknown" : "ambiguous";
	}

}
