package org.sardineport.daemon.telemetry;

import java.io.ByteArrayOutputStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BoundedOutputTests {

	private final ByteArrayOutputStream target = new ByteArrayOutputStream();

	private final BoundedOutput output = BoundedOutput.to(this.target);

	@Test
	void writesLinesInOrder() {
		this.output.println("one");
		this.output.println("two");
		assertThat(this.target.size()).isZero();
		this.output.write();
		assertThat(this.target).hasToString("one\ntwo\n");
	}

	@Test
	void leavesOutOrdinaryLinesAndCountsThemButNoWarnings() {
		for (int i = 0; i < 20_000; i++) {
			this.output.println("INFO line " + i);
		}
		this.output.println("x ERROR broken");
		this.output.println("x WARN careful");
		this.output.write();
		String written = this.target.toString();
		assertThat(written).contains("x ERROR broken\n")
			.contains("x WARN careful\n")
			.contains("event=log.left-out lines=")
			.doesNotContain("INFO line 19999");
	}

}
