package org.sardineport.daemon.telemetry;

import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Writes metrics in the text form that Prometheus scrapes.
 */
public final class PrometheusText {

	/** Content type of the text. */
	public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

	private static final String PREFIX = "sardineport_";

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	/** Metrics whose last part of the name becomes the value of a label. */
	private static final Map<String, String> LABELS = Map.of("requests.refused.", "reason", "requests.retried.",
			"reason", "requests.completed.", "tier", "requests.duration.", "tier", "requests.first-byte.", "tier");

	private final StringBuilder out = new StringBuilder();

	private final TreeSet<String> typed = new TreeSet<>();

	private PrometheusText() {
	}

	/**
	 * Writes all metrics of a registry.
	 * @param registry the registry
	 * @return the text
	 */
	public static String write(MetricRegistry registry) {
		PrometheusText text = new PrometheusText();
		registry.getCounters().forEach((name, counter) -> text.sample(name, "_total", "counter", counter.getCount()));
		registry.getMeters().forEach((name, meter) -> text.meter(name, meter));
		registry.getGauges().forEach((name, gauge) -> text.gauge(name, gauge));
		registry.getTimers().forEach((name, timer) -> text.timer(name, timer));
		registry.getHistograms()
			.forEach((name, histogram) -> text.summary(name, "", histogram.getSnapshot(), 1, histogram.getCount()));
		return text.out.toString();
	}

	private void meter(String name, Meter meter) {
		sample(name, "_total", "counter", meter.getCount());
	}

	private void gauge(String name, Gauge<?> gauge) {
		if (gauge.getValue() instanceof Number number) {
			sample(name, "", "gauge", number.doubleValue());
		}
	}

	private void timer(String name, Timer timer) {
		summary(name, "_seconds", timer.getSnapshot(), NANOS_PER_SECOND, timer.getCount());
	}

	private void summary(String name, String unit, Snapshot snapshot, double scale, long count) {
		MetricName metric = MetricName.of(name);
		type(metric.family() + unit, "summary");
		quantile(metric, unit, "0.5", snapshot.getMedian() / scale);
		quantile(metric, unit, "0.95", snapshot.get95thPercentile() / scale);
		quantile(metric, unit, "0.99", snapshot.get99thPercentile() / scale);
		line(metric.family() + unit + "_count", metric.label(), count);
		line(metric.family() + unit + "_sum", metric.label(), snapshot.getMean() / scale * count);
	}

	private void quantile(MetricName metric, String unit, String quantile, double value) {
		String label = "quantile=\"" + quantile + "\"";
		line(metric.family() + unit, (metric.label().isEmpty()) ? label : metric.label() + "," + label, value);
	}

	private void sample(String name, String suffix, String type, double value) {
		MetricName metric = MetricName.of(name);
		type(metric.family() + suffix, type);
		line(metric.family() + suffix, metric.label(), value);
	}

	private void type(String family, String type) {
		if (this.typed.add(family)) {
			this.out.append("# TYPE ").append(family).append(' ').append(type).append('\n');
		}
	}

	private void line(String family, String label, double value) {
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
	 * Name of a metric in Prometheus's form.
	 *
	 * @param family name without labels
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
