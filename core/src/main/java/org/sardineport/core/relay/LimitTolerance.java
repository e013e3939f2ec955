package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.limit.OrganisationLimit;

/**
 * Amount by which operators accept that organisations exceed their limits. Part of it is
 * granted as slack, so that no request within a limit is refused.
 *
 * @param window time over which usage is counted
 * @param share fraction of the limit by which it may be exceeded; 0 or above
 * @param units absolute number of units by which the limit may be exceeded in addition
 */
public record LimitTolerance(Duration window, double share, long units) {

	/** Fraction of the tolerance granted as slack; the rest covers usage in flight. */
	private static final double SLACK_SHARE = 0.5;

	/**
	 * Creates the tolerance; the window is mandatory.
	 */
	public LimitTolerance {
		Objects.requireNonNull(window, "window must not be null");
	}

	/**
	 * Returns the limit that admission enforces for an organisation.
	 * @param organisation the organisation
	 * @return the limit in the organisation's units, with the granted part of the
	 * tolerance as slack; {@link OrganisationLimit#NONE} if the organisation is not
	 * limited
	 */
	public OrganisationLimit apply(RelayOrganisation organisation) {
		OrganisationLimit configured = organisation.limit();
		if (!configured.isLimited()) {
			return OrganisationLimit.NONE;
		}
		double unitsInWindow = configured.tokensPerSecond() * this.window.toMillis() / 1000.0 + configured.burst();
		return new OrganisationLimit(configured.tokensPerSecond(), Math.max(1, configured.burst()),
				(long) (SLACK_SHARE * (this.share * unitsInWindow + this.units)));
	}

}
