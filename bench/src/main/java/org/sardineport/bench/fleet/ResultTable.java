package org.sardineport.bench.fleet;

/**
 * Prints what was measured and holds it against the targets.
 */
final class ResultTable {

	private boolean allMet = true;

	ResultTable() {
		System.out.println("measure,members,value,unit,target,result");
	}

	void info(String measure, int members, double value, String unit) {
		System.out.println("%s,%d,%.6g,%s,,".formatted(measure, members, value, unit));
	}

	/**
	 * Prints a value that must not exceed its target.
	 * @param measure name of the measure
	 * @param members number of daemons
	 * @param value what was measured
	 * @param unit unit of value and target
	 * @param target greatest value that meets the target
	 */
	void atMost(String measure, int members, double value, String unit, double target) {
		boolean met = value <= target;
		this.allMet &= met;
		System.out.println(
				"%s,%d,%.6g,%s,%.6g,%s".formatted(measure, members, value, unit, target, (met) ? "met" : "missed"));
	}

	boolean allMet() {
		return this.allMet;
	}

}
