package org.sardineport.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.standins.log.AppendFault;
import org.sardineport.standins.log.InMemoryLogService;
import org.sardineport.standins.log.LogServiceStandIn;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(120)
class MainTests {

	private static final String LEDGER = """
			name: ledger
			routes:
			  - {method: POST, path: /postings, pool: ledger, tier: interactive, deadline: 30s, nonIdempotent: true}
			organisations:
			  - {name: valuers, tokensPerSecond: 1000}
			""";

	@TempDir
	private Path directory;

	private final Vertx vertx = Vertx.vertx();

	private final InMemoryLogService log = InMemoryLogService.create();

	private final LogServiceStandIn service = LogServiceStandIn.create(this.vertx, this.log);

	private final FakeDaemon daemon = new FakeDaemon();

	private String output = "";

	private String notes = "";

	@BeforeEach
	void start() {
		this.service.start().toCompletableFuture().join();
	}

	@AfterEach
	void stop() {
		this.daemon.close();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Test
	void profileIsPublishedShownReplacedAndRetired() throws IOException {
		assertThat(run("profile", "publish", file("ledger.yaml", LEDGER))).isEqualTo(ExitCode.OK);
		assertThat(this.output).contains("+ route POST /postings").contains("Accepted as version 0.");
		assertThat(run("profile", "list")).isEqualTo(ExitCode.OK);
		assertThat(this.output).contains("version 0").contains("ledger");
		assertThat(run("profile", "show", "ledger")).isEqualTo(ExitCode.OK);
		assertThat(this.output).startsWith("# version 0\nname: ledger");
		String edited = this.output.replace("30s", "20s");
		assertThat(run("profile", "replace", file("ledger.yaml", edited))).isEqualTo(ExitCode.OK);
		assertThat(this.output).contains("deadline: PT30S -> PT20S");
		assertThat(run("profile", "replace", file("ledger.yaml", edited.replace("20s", "25s"))))
			.as("edited from a version that was replaced since")
			.isEqualTo(ExitCode.CONFLICT);
		assertThat(run("profile", "retire", "ledger")).isEqualTo(ExitCode.WARNINGS);
		assertThat(run("profile", "retire", "--accept-warnings", "ledger")).isEqualTo(ExitCode.OK);
		assertThat(run("profile", "show", "ledger")).isEqualTo(ExitCode.USAGE);
	}

	@Test
	void riskyChangeIsNotPublishedUnlessAccepted() throws IOException {
		run("profile", "publish", file("ledger.yaml", LEDGER));
		String riskyFile = file("risky.yaml", LEDGER.replace(", nonIdempotent: true", "").replace("1000", "100"));
		assertThat(run("profile", "replace", riskyFile)).isEqualTo(ExitCode.WARNINGS);
		assertThat(this.output).contains("requests may then run twice").contains("most requests of the organisation");
		assertThat(this.log.records("configuration")).hasSize(1);
		assertThat(run("profile", "replace", "--accept-warnings", riskyFile)).isEqualTo(ExitCode.OK);
	}

	@Test
	void severalProfilesArePublishedInOneRecord() throws IOException {
		run("profile", "publish", file("old.yaml", LEDGER.replace("name: ledger", "name: old")));
		assertThat(run("profile", "publish", file("a.yaml", LEDGER.replace("name: ledger", "name: a")),
				file("b.yaml", LEDGER.replace("name: ledger", "name: b")), "--retire", "old", "--accept-warnings"))
			.isEqualTo(ExitCode.OK);
		assertThat(this.log.records("configuration")).hasSize(2);
		run("profile", "list", "--output", "json");
		assertThat(json().get("profiles")).hasSize(2);
	}

	@Test
	void everyFaultOfAllFilesIsListed() throws IOException {
		String bad = file("bad.yaml", LEDGER.replace("interactive", "fast"));
		String worse = file("worse.yaml", "name: x\ncolour: blue");
		assertThat(run("profile", "check", bad, worse)).isEqualTo(ExitCode.INVALID);
		assertThat(this.output).contains("bad.yaml: routes[0].tier").contains("worse.yaml: colour");
		assertThat(run("profile", "publish", bad, worse)).isEqualTo(ExitCode.INVALID);
		assertThat(this.log.records("configuration")).isEmpty();
	}

	@ParameterizedTest
	@EnumSource
	void outcomeOfAFailedAppendIsDetermined(AppendFault fault) throws IOException {
		this.log.faults().failNextAppends(fault);
		assertThat(run("profile", "publish", file("ledger.yaml", LEDGER))).isEqualTo(ExitCode.OK);
		this.log.releaseLateAppends();
		run("profile", "list", "--output", "json");
		assertThat(json().get("profiles")).hasSize(1);
		assertThat(json().get("version").asLong()).isZero();
	}

	@Test
	void reportsUnknownIfNoAppendIsConfirmed() throws IOException {
		AppendFault[] faults = new AppendFault[100];
		Arrays.fill(faults, AppendFault.LATE_EFFECT);
		this.log.faults().failNextAppends(faults);
		assertThat(run("profile", "publish", "--timeout", "3", file("ledger.yaml", LEDGER)))
			.isEqualTo(ExitCode.UNKNOWN);
		assertThat(this.output).contains("cannot be told");
	}

	@Test
	void reportsUnavailableWhileTheLogIsDown() throws IOException {
		this.log.faults().outage(true);
		assertThat(run("profile", "publish", file("ledger.yaml", LEDGER))).isEqualTo(ExitCode.UNAVAILABLE);
		assertThat(this.notes).contains("Remedy: ");
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, 1 })
	void waitsUntilAllLiveDaemonsReport(long versionOfOther) throws IOException {
		run("profile", "publish", file("other.yaml", LEDGER.replace("name: ledger", "name: other")));
		String before = "{\"daemon\": \"d1\", \"configurationVersion\": 0}";
		this.daemon.respond("/status", before, """
				{"daemon": "d1", "configurationVersion": 1, "ready": true, "members": [
				{"daemon": "d2", "status": "alive", "configurationVersion": %d},
				{"daemon": "d3", "status": "dead", "configurationVersion": -1}],
				"backendServers": [{"id": "b", "pool": "ledger", "owner": "d1"}]}""".formatted(versionOfOther));
		ExitCode code = run("profile", "publish", "--wait", "1", "--operator", this.daemon.address(), "--token-file",
				file("token", FakeDaemon.TOKEN), file("ledger.yaml", LEDGER));
		assertThat(code).isEqualTo((versionOfOther < 1) ? ExitCode.NOT_EVERYWHERE : ExitCode.OK);
		assertThat(this.output).contains((versionOfOther < 1) ? "not yet reported by [d2]" : "all live daemons");
	}

	@Test
	void publishesNothingIfDaemonsHoldANewerVersionThanTheLog() throws IOException {
		this.daemon.respond("/status", "{\"daemon\": \"d1\", \"configurationVersion\": 9}");
		assertThat(run("profile", "publish", "--operator", this.daemon.address(), "--token-file",
				file("token", FakeDaemon.TOKEN), file("ledger.yaml", LEDGER)))
			.isEqualTo(ExitCode.UNAVAILABLE);
		assertThat(this.notes).contains("lost records or lags");
		assertThat(this.log.records("configuration")).isEmpty();
	}

	@Test
	void showsStatusAndEntryAddresses() throws IOException {
		this.daemon.respond("/status", "{\"daemon\": \"d1\", \"ready\": false, \"reasons\": [\"joining\"]}");
		this.daemon.respond("/v1/entry", "{\"addresses\": [\"10.0.0.1:8080\"], \"keepSeconds\": 10}");
		String token = file("token", FakeDaemon.TOKEN);
		assertThat(run("status", "--operator", this.daemon.address(), "--token-file", token)).isEqualTo(ExitCode.OK);
		assertThat(this.output).contains("ready=false because joining");
		assertThat(run("status", "--operator", this.daemon.address())).isEqualTo(ExitCode.UNAVAILABLE);
		assertThat(run("entry", "--caller", this.daemon.address(), "--output", "json")).isEqualTo(ExitCode.OK);
		assertThat(json().get("addresses").get(0).asText()).isEqualTo("10.0.0.1:8080");
	}

	@ParameterizedTest
	@ValueSource(strings = { "profile publish --log nonsense", "status", "entry --caller localhost:80", "nonsense",
			"profile show", "profile list --output xml", "profile publish /no/such/file" })
	void refusesWrongCommandLines(String line) {
		ByteArrayOutputStream err = new ByteArrayOutputStream();
		Console console = Console.of(new PrintStream(new ByteArrayOutputStream()), new PrintStream(err), Map.of());
		assertThat(Main.run(console, line.split(" "))).isEqualTo(ExitCode.USAGE);
		assertThat(err.size()).isPositive();
	}

	@Test
	void exitCodesAreKeptForScripts() {
		assertThat(ExitCode.values()).extracting(ExitCode::code).containsExactly(0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
	}

	private ExitCode run(String... arguments) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		ByteArrayOutputStream err = new ByteArrayOutputStream();
		Console console = Console.of(new PrintStream(out, true, StandardCharsets.UTF_8),
				new PrintStream(err, true, StandardCharsets.UTF_8),
				Map.of("SARDINEPORT_LOG", this.service.address().toString(), "USER", "test"));
		ExitCode code = Main.run(console, arguments);
		this.output = out.toString(StandardCharsets.UTF_8);
		this.notes = err.toString(StandardCharsets.UTF_8);
		return code;
	}

	private JsonNode json() throws IOException {
		return new ObjectMapper().readTree(this.output);
	}

	private String file(String name, String text) throws IOException {
		return Files.writeString(this.directory.resolve(name), text).toString();
	}

}
