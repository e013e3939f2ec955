package org.sardineport.bench;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.sardineport.bench.configuration.ConfigurationMeasurement;
import org.sardineport.bench.decision.DecisionMeasurement;
import org.sardineport.bench.fleet.FleetMeasurement;
import org.sardineport.bench.journal.JournalMeasurement;
import org.sardineport.bench.policy.PolicyMeasurement;
import org.sardineport.bench.response.ResponsePartsMeasurement;
import org.sardineport.bench.slope.SlopeCommand;

/**
 * Command line of the measurements. Each command prints its results as a table or CSV and
 * compares them with its targets.
 */
@Cli(name = "bench", description = "Measurements of sardineport", defaultCommand = Help.class,
		commands = { Help.class, ConfigurationMeasurement.class, DecisionMeasurement.class, FleetMeasurement.class,
				JournalMeasurement.class, PolicyMeasurement.class, ResponsePartsMeasurement.class, SlopeCommand.class })
public final class Main {

	/** Exit code if every target was met. */
	static final int TARGETS_MET = 0;

	/** Exit code if a target was missed. */
	static final int TARGETS_MISSED = 1;

	/** Exit code for an invalid command line. */
	static final int USAGE = 2;

	private Main() {
	}

	/**
	 * Runs the measurement that the arguments name, and exits the JVM with 0 if every
	 * target was met, 1 if one was missed and 2 for an invalid command line.
	 * @param arguments name of the measurement and its options
	 * @throws Exception if the measurement failed
	 */
	public static void main(String[] arguments) throws Exception {
		System.exit(run(arguments));
	}

	private static int run(String[] arguments) throws Exception {
		Object command;
		try {
			command = new com.github.rvesse.airline.Cli<>(Main.class).parse(arguments);
		}
		catch (ParseException ex) {
			System.err.println(ex.getMessage());
			return USAGE;
		}
		if (command instanceof Measurement measurement) {
			return measurement.run() ? TARGETS_MET : TARGETS_MISSED;
		}
		((Runnable) command).run();
		return TARGETS_MET;
	}

}
