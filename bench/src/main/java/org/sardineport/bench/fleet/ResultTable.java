package org.sardineport.bench.fleet;

/**
 * Prints results as CSV and compares them with their targets. Not thread-safe.
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
	 * @param value the measured value
	 * @param unit unit of the value and the target
	 * @param target greatest acceptable value
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
