package org.sardineport.bench.configuration;

import java.time.Duration;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.ranges.IntegerRange;
import org.HdrHistogram.Histogram;
import org.sardineport.bench.Measurement;

/**
 * Measures the time until a configuration change is in force on all daemons, and its cost
 * for a daemon.
 */
@Command(name = "configuration", description = "Time until a change is in force on all daemons, and its cost")
public final class ConfigurationMeasurement implements Measurement {

	private static final int DAEMONS = 8;

	private static final int DAEMON_DOMAINS = 3;

	private static final int LARGE_DAEMONS = 3300;

	private static final int LARGE_DOMAINS = 18;

	private static final Duration OUTAGE = Duration.ofSeconds(4);

	private static final double TARGET_SECONDS = 1;

	private static final double OUTAGE_TARGET_SECONDS = 6;

	/** Rate of configuration changes in the whole fleet: 9,900 per day. */
	private static final double CHANGES_PER_SECOND = 9900.0 / Duration.ofDays(1).toSeconds();

	/** Budget of a daemon for control traffic. */
	private static final double CONTROL_BYTES_PER_SECOND = 3 * 1024;

	/** Budget of a daemon for control work, as a share of a core. */
	private static final double CONTROL_CORE_SHARE = 0.01;

	/** Memory budget of a daemon for control work. */
	private static final double CONTROL_MEMORY_BYTES = 64.0 * 1024 * 1024;

	/** Approximately the greatest number of large profiles that the limits allow. */
	private static final int LARGE_PROFILES = 150;

	private static final int LARGE_ORGANISATIONS = 380;

	@Option(name = "--changes", title = "COUNT", description = "Changes to publish; default: 200")
	@IntegerRange(min = 10, max = 10_000)
	private int changes = 200;

	@Option(name = "--outages", title = "COUNT", description = "Outages of the log to measure; default: 3")
	@IntegerRange(min = 0, max = 100)
	private int outages = 3;

	private boolean allMet = true;

	@Override
	public boolean run() throws Exception {
		System.out.println("measure,value,unit,target,result");
		try (ConfigurationFleet fleet = ConfigurationFleet.start(DAEMONS)) {
			PropagationTime propagation = new PropagationTime(fleet);
			Histogram plain = propagation.publishChanges(this.changes);
			check("in-force-p50", seconds(plain, 50), "s", TARGET_SECONDS);
			check("in-force-p99", seconds(plain, 99), "s", TARGET_SECONDS);
			check("in-force-max", seconds(plain, 100), "s", OUTAGE_TARGET_SECONDS);
			if (this.outages > 0) {
				Histogram outage = propagation.publishDuringOutages(this.outages, OUTAGE);
				check("in-force-outage-max", seconds(outage, 100), "s", OUTAGE_TARGET_SECONDS);
				Histogram lag = propagation.publishDuringReadLag(this.outages, OUTAGE);
				check("in-force-reads-held-back-max", seconds(lag, 100), "s", OUTAGE_TARGET_SECONDS);
			}
		}
		measureCost(ProfileTexts.small(), 4, "small");
		measureCost(ProfileTexts.withOrganisations(LARGE_ORGANISATIONS), LARGE_PROFILES, "large");
		measureFleetTick(DAEMONS, DAEMON_DOMAINS);
		measureFleetTick(LARGE_DAEMONS, LARGE_DOMAINS);
		return this.allMet;
	}

	private void measureCost(ProfileTexts texts, int profiles, String size) {
		ReplicaCost cost = ReplicaCost.measure(texts, profiles);
		String suffix = "-" + size;
		info("profiles" + suffix, profiles, "profiles");
		info("record" + suffix, cost.recordBytes(), "B");
		info("delta" + suffix, cost.deltaBytes(), "B");
		info("apply" + suffix, cost.applyMicros(), "us");
		check("core-share" + suffix, cost.applyMicros() * CHANGES_PER_SECOND / 1e6, "core", CONTROL_CORE_SHARE);
		check("reader-bytes" + suffix, cost.recordBytes() * CHANGES_PER_SECOND, "B/s", CONTROL_BYTES_PER_SECOND);
		check("spread-bytes" + suffix, cost.distributionBytes() * CHANGES_PER_SECOND, "B/s", CONTROL_BYTES_PER_SECOND);
		info("memory-per-profile" + suffix, cost.memoryPerProfile(), "B");
		check("memory" + suffix, cost.memoryPerProfile() * profiles, "B", CONTROL_MEMORY_BYTES);
	}

	private void measureFleetTick(int daemons, int domains) {
		double micros = FleetTickCost.micros(daemons, domains);
		check("fleet-tick-core-share-" + daemons, micros * FleetTickCost.TICKS_PER_SECOND / 1e6, "core",
				CONTROL_CORE_SHARE);
	}

	private static double seconds(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / 1e6;
	}

	private static void info(String measure, double value, String unit) {
		System.out.println("%s,%.6g,%s,,".formatted(measure, value, unit));
	}

	private void check(String measure, double value, String unit, double target) {
		boolean met = value < target;
		this.allMet &= met;
		System.out.println("%s,%.6g,%s,%.6g,%s".formatted(measure, value, unit, target, met ? "met" : "missed"));
	}

}
