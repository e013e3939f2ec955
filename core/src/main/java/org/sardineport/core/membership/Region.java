package org.sardineport.core.membership;

import java.util.Objects;

import org.sardineport.core.identity.FailureDomain;

/**
 * Group of failure domains whose daemons keep the full state of each other. The part of a
 * failure domain's name before its first dot is the name of the region. All failure
 * domains whose names have no dot form one region, which has an empty name.
 *
 * @param name name of the region, or the empty string
 */
public record Region(String name) {

	/**
	 * Creates the region; its name may be empty.
	 */
	public Region {
		Objects.requireNonNull(name, "name must not be null");
	}

	/**
	 * Returns the region of a failure domain.
	 * @param failureDomain the failure domain
	 * @return the region that its name gives
	 */
	public static Region of(FailureDomain failureDomain) {
		int dot = failureDomain.value().indexOf('.');
		return new Region((dot < 0) ? "" : failureDomain.value().substring(0, dot));
	}

}
