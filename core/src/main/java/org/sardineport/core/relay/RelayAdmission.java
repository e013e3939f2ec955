package org.sardineport.core.relay;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Leave for a request to be scheduled, under the configuration it began with.
 *
 * @param configuration the configuration
 * @param route its route
 * @param organisation whose request it is, or {@code null} if its route is open to all
 */
public record RelayAdmission(RelayConfiguration configuration, RelayRoute route,
		@Nullable RelayOrganisation organisation) {

	/**
	 * Creates the admission.
	 */
	public RelayAdmission {
		Objects.requireNonNull(configuration, "configuration must not be null");
		Objects.requireNonNull(route, "route must not be null");
	}

	/**
	 * Returns whether the request may run only while the configuration is proved to be
	 * recent, as the caller's key may have been taken away.
	 * @return whether it was let in by a key
	 */
	public boolean needsProof() {
		return this.organisation != null;
	}

}
