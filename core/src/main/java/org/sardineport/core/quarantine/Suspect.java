package org.sardineport.core.quarantine;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Fingerprint;

/**
 * Request or part of prompts that may be to blame for crashes of backend servers.
 *
 * @param kind what it is
 * @param fingerprint its fingerprint
 */
public record Suspect(SuspectKind kind, Fingerprint fingerprint) {

	/**
	 * Creates the suspect and checks that its components are present.
	 */
	public Suspect {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(fingerprint, "fingerprint must not be null");
	}

	/**
	 * Returns a request.
	 * @param fingerprint its fingerprint
	 * @return the suspect
	 */
	public static Suspect request(Fingerprint fingerprint) {
		return new Suspect(SuspectKind.REQUEST, fingerprint);
	}

	/**
	 * Returns a part of prompts.
	 * @param fingerprint its fingerprint
	 * @return the suspect
	 */
	public static Suspect promptPart(Fingerprint fingerprint) {
		return new Suspect(SuspectKind.PROMPT_PART, fingerprint);
	}

	/**
	 * Returns whether this is a part of prompts.
	 * @return {@code false} for a whole request
	 */
	public boolean isPromptPart() {
		return this.kind == SuspectKind.PROMPT_PART;
	}

	// Explicit for faster start-up, see the documentation of package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof Suspect that && this.kind == that.kind && this.fingerprint.equals(that.fingerprint);
	}

	@Override
	public int hashCode() {
		return 31 * this.fingerprint.hashCode() + this.kind.ordinal();
	}

}
