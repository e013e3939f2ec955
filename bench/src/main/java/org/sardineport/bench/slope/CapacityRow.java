package org.sardineport.bench.slope;

import java.util.Locale;

/**
 * What one role spends of one resource at the designed size.
 *
 * @param role the role
 * @param unit the resource
 * @param slopeName the slope multiplied
 * @param formula the multiplication in words
 * @param result what it comes to
 * @param budget the whole budget of a daemon for the resource
 */
record CapacityRow(Role role, CostUnit unit, String slopeName, String formula, double result, double budget) {

	static final String CSV_HEADER = "role,unit,slope,multiplication,result,budget,share,within";

	/**
	 * Returns whether the role alone stays within the whole budget.
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
