package org.sardineport.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the exit status and the messages of the daemon's command line.
 */
class MainTests {

	@TempDir
	private Path directory;

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@Test
	void acceptsTheDocumentedExample() {
		assertThat(run("--settings", "../docs/examples/settings.yaml", "--check")).isZero();
		assertThat(written()).contains("valid");
	}

	@Test
	void reportsAllFaults() throws IOException {
		Path file = this.directory.resolve("settings.yaml");
		Files.writeString(file, "daemon: entry 1\nfailureDomian: x\ncallerAddress: localhost:80\n");
		assertThat(run("--settings", file.toString(), "--check")).isEqualTo(3);
		assertThat(written()).contains("fleet", "daemon", "failureDomian", "callerAddress", "operatorToken");
	}

	@Test
	void reportsAnUnreadableFile() {
		assertThat(run("--settings", this.directory.resolve("absent.yaml").toString())).isEqualTo(3);
		assertThat(written()).contains("absent.yaml");
	}

	@Test
	void printsUsageOnInvalidArguments() {
		assertThat(run()).isEqualTo(2);
		assertThat(run("--other")).isEqualTo(2);
		assertThat(written()).contains("Usage: sardineportd --settings FILE [--check]");
	}

	private int run(String... arguments) {
		return Main.run(arguments, new PrintStream(this.err, true, StandardCharsets.UTF_8));
	}

	private String written() {
		return this.err.toString(StandardCharsets.UTF_8);
	}

}
