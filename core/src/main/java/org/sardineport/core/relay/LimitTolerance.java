package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.limit.OrganisationLimit;

/**
 * By how much organisations may exceed their limits before operators mind, of which a
 * part is used so that no request within a limit is refused.
 *
 * @param window time over which use is counted
 * @param share part of the limit by which it may be exceeded, from 0
 * @param units units of the limit by which it may be exceeded besides
 */
public record LimitTolerance(Duration window, double share, long units) {

	/** Part of the tolerance that is used; the rest covers what is on its way. */
	private static final double USED = 0.5;

	/**
	 * Creates the tolerance.
	 */
	public LimitTolerance {
		Objects.requireNonNull(window, "window must not be null");
	}

	/**
	 * Returns the limit by which an organisation's requests are let in.
	 * @param organisation the organisation
	 * @return the limit in its units, with the part of the tolerance that is used as
	 * slack
	 */
	public OrganisationLimit apply(RelayOrganisation organisation) {
		OrganisationLimit set = organisation.limit();
		if (!set.isLimited()) {
			return OrganisationLimit.NONE;
		}
		double inWindow = set.tokensPerSecond() * this.window.toMillis() / 1000.0 + set.burst();
		return new OrganisationLimit(set.tokensPerSecond(), Math.max(1, set.burst()),
				(long) (USED * (this.share * inWindow + this.units)));
	}

}
