package org.sardineport.core.membership;

import java.util.Objects;

import org.sardineport.core.identity.FailureDomain;

/**
 * Group of failure domains whose daemons keep full detail of each other. The part of a
 * failure domain's name before its first dot names the region; names without a dot belong
 * to one region without a name.
 *
 * @param name name of the region, or the empty string
 */
public record Region(String name) {

	/**
	 * Creates the region.
	 */
	public Region {
		Objects.requireNonNull(name, "name must not be null");
	}

	/**
	 * Returns the region of a failure domain.
	 * @param failureDomain the failure domain
	 * @return its region
	 */
	public static Region of(FailureDomain failureDomain) {
		int dot = failureDomain.value().indexOf('.');
		return new Region((dot < 0) ? "" : failureDomain.value().substring(0, dot));
	}

}
