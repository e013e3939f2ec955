package org.sardineport.bench.slope;

import java.util.Locale;

/**
 * Cost of one role in one resource at the design scale. Immutable.
 *
 * @param role the role
 * @param unit unit of the resource
 * @param slopeName name of the slope that is extrapolated
 * @param formula the extrapolation as text
 * @param result the extrapolated cost
 * @param budget budget of a daemon for the resource, over all roles
 */
record CapacityRow(Role role, CostUnit unit, String slopeName, String formula, double result, double budget) {

	static final String CSV_HEADER = "role,unit,slope,multiplication,result,budget,share,within";

	/**
	 * Returns whether the role alone stays within the budget for all roles.
	 * @return whether the result is at most the budget
	 */
	boolean isWithinBudget() {
		return this.result <= this.budget;
	}

	double share() {
		return this.result / this.budget;
	}

	String csv() {
		return String.format(Locale.ROOT, "%s,%s,%s,\"%s\",%.1f,%.1f,%.4f,%s", this.role.label(), this.unit.label(),
				this.slopeName, this.formula, this.result, this.budget, share(), isWithinBudget());
	}

	@Override
	public String toString() {
		return String.format(Locale.ROOT, "%-22s %-34s %-60s %14.1f of %12.1f %6.1f%%", this.role.label(),
				this.slopeName, this.formula, this.result, this.budget, share() * 100);
	}

}
