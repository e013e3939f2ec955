package org.sardineport.daemon.telemetry;

import java.time.Duration;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.Tier;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the names, labels and line format of the Prometheus export.
 */
class PrometheusTextTests {

	private final Telemetry telemetry = Telemetry.create();

	private String text;

	@BeforeEach
	void write() {
		this.telemetry.refused(RefusalReason.OVERLOADED).inc(2);
		this.telemetry.cut(RefusalReason.BACKEND_FAILED).inc();
		this.telemetry.counter("peer.sent.bytes").inc(7);
		this.telemetry.duration(Tier.URGENT).update(Duration.ofMillis(250));
		this.telemetry.registry().gauge("ring.waiting", () -> () -> 3);
		this.text = PrometheusText.write(this.telemetry.registry());
	}

	@Test
	void writesReasonsAndTiersAsLabels() {
		assertThat(this.text).contains("sardineport_requests_refused_total{reason=\"overloaded\"} 2\n")
			.contains("sardineport_requests_cut_total{reason=\"backend-failed\"} 1\n")
			.contains("sardineport_requests_duration_seconds_count{tier=\"urgent\"} 1\n")
			.contains("sardineport_requests_duration_seconds{tier=\"urgent\",quantile=\"0.5\"} 0.25\n");
	}

	@Test
	void writesOtherNamesWithUnderscores() {
		assertThat(this.text)
			.contains("# TYPE sardineport_peer_sent_bytes_total counter\n" + "sardineport_peer_sent_bytes_total 7\n");
		assertThat(this.text).contains("sardineport_ring_waiting 3\n");
	}

	@Test
	void writesTheTypeOfEachFamilyOnceAndBeforeItsSamples() {
		String type = "# TYPE sardineport_requests_refused_total counter\n";
		assertThat(this.text.split(type, -1)).hasSize(2);
		assertThat(this.text.indexOf(type)).isLessThan(this.text.indexOf("sardineport_requests_refused_total{"));
	}

	@Test
	void eachLineIsATypeOrASample() {
		assertThat(this.text.lines()).allMatch((line) -> line.startsWith("# TYPE sardineport_")
				|| line.matches("sardineport_[a-z0-9_]+(\\{[^}]+\\})? -?[0-9.E-]+"));
	}

}
