package org.sardineport.daemon.telemetry;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Formats metrics in the Prometheus text exposition format.
 */
public final class PrometheusText {

	/** Content type of the text format, version 0.0.4. */
	public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

	private static final String PREFIX = "sardineport_";

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Maps name prefixes to a label; the rest of a metric's name becomes the label's
	 * value.
	 */
	private static final Map<String, String> LABELS = Map.of("requests.refused.", "reason", "requests.cut.", "reason",
			"requests.retried.", "reason", "requests.completed.", "tier", "requests.duration.", "tier",
			"requests.first-byte.", "tier", "requests.stage.", "stage");

	private final StringBuilder out = new StringBuilder();

	private final TreeSet<String> familiesWithType = new TreeSet<>();

	private PrometheusText() {
	}

	/**
	 * Formats all metrics of a registry. Gauges without a numeric value are omitted.
	 * @param registry the registry
	 * @return the text
	 */
	public static String write(MetricRegistry registry) {
		PrometheusText text = new PrometheusText();
		registry.getCounters()
			.forEach((name, counter) -> text.writeSample(name, "_total", "counter", counter.getCount()));
		registry.getMeters().forEach((name, meter) -> text.writeMeter(name, meter));
		registry.getGauges().forEach((name, gauge) -> text.writeGauge(name, gauge));
		registry.getTimers().forEach((name, timer) -> text.writeTimer(name, timer));
		registry.getHistograms()
			.forEach(
					(name, histogram) -> text.writeSummary(name, "", histogram.getSnapshot(), 1, histogram.getCount()));
		registry.getMetrics().forEach((name, metric) -> {
			if (metric instanceof BucketHistogram histogram) {
				text.writeBuckets(name, histogram);
			}
		});
		return text.out.toString();
	}

	private void writeBuckets(String name, BucketHistogram histogram) {
		MetricName metric = MetricName.of(name);
		String family = metric.family() + "_seconds";
		List<BucketHistogram.Bucket> buckets = histogram.buckets();
		writeType(family, "histogram");
		buckets.forEach((bucket) -> writeLine(family + "_bucket",
				joinLabels(metric.label(), "le=\"" + bucket.label() + "\""), bucket.count()));
		writeLine(family + "_sum", metric.label(), histogram.sumMillis() / 1000.0);
		writeLine(family + "_count", metric.label(), buckets.get(buckets.size() - 1).count());
	}

	private static String joinLabels(String first, String second) {
		return (first.isEmpty()) ? second : first + "," + second;
	}

	private void writeMeter(String name, Meter meter) {
		writeSample(name, "_total", "counter", meter.getCount());
	}

	private void writeGauge(String name, Gauge<?> gauge) {
		if (gauge.getValue() instanceof Number number) {
			writeSample(name, "", "gauge", number.doubleValue());
		}
	}

	private void writeTimer(String name, Timer timer) {
		writeSummary(name, "_seconds", timer.getSnapshot(), NANOS_PER_SECOND, timer.getCount());
	}

	private void writeSummary(String name, String unit, Snapshot snapshot, double scale, long count) {
		MetricName metric = MetricName.of(name);
		writeType(metric.family() + unit, "summary");
		writeQuantile(metric, unit, "0.5", snapshot.getMedian() / scale);
		writeQuantile(metric, unit, "0.95", snapshot.get95thPercentile() / scale);
		writeQuantile(metric, unit, "0.99", snapshot.get99thPercentile() / scale);
		writeLine(metric.family() + unit + "_count", metric.label(), count);
		writeLine(metric.family() + unit + "_sum", metric.label(), snapshot.getMean() / scale * count);
	}

	private void writeQuantile(MetricName metric, String unit, String quantile, double value) {
		String label = "quantile=\"" + quantile + "\"";
		writeLine(metric.family() + unit, joinLabels(metric.label(), label), value);
	}

	private void writeSample(String name, String suffix, String type, double value) {
		MetricName metric = MetricName.of(name);
		writeType(metric.family() + suffix, type);
		writeLine(metric.family() + suffix, metric.label(), value);
	}

	private void writeType(String family, String type) {
		if (this.familiesWithType.add(family)) {
			this.out.append("# TYPE ").append(family).append(' ').append(type).append('\n');
		}
	}

	private void writeLine(String family, String label, double value) {
		this.out.append(family);
		if (!label.isEmpty()) {
			this.out.append('{').append(label).append('}');
		}
		this.out.append(' ');
		if (value == Math.rint(value) && Math.abs(value) < Long.MAX_VALUE) {
			this.out.append((long) value);
		}
		else {
			this.out.append(value);
		}
		this.out.append('\n');
	}

	/**
	 * Name of a metric in the Prometheus format.
	 *
	 * @param family name of the metric family, without labels
	 * @param label the label with its value, or empty
	 */
	private record MetricName(String family, String label) {

		private static MetricName of(String name) {
			for (Map.Entry<String, String> entry : LABELS.entrySet()) {
				String prefix = entry.getKey();
				if (name.startsWith(prefix)) {
					String label = entry.getValue() + "=\"" + name.substring(prefix.length()) + "\"";
					return new MetricName(family(prefix.substring(0, prefix.length() - 1)), label);
				}
			}
			return new MetricName(family(name), "");
		}

		private static String family(String name) {
			return PREFIX + name.replaceAll("[^a-zA-Z0-9_]", "_");
		}

	}

}
