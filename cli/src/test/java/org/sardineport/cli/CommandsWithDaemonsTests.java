package org.sardineport.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.daemon.SardineportDaemon;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.settings.DaemonSettings;
import org.sardineport.settings.DaemonSettingsReader;
import org.sardineport.standins.http.FreeAddress;
import org.sardineport.standins.log.InMemoryLogService;
import org.sardineport.standins.log.LogServiceStandIn;
import org.sardineport.standins.vm.VmListStandIn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the command line with two complete daemons configured from YAML.
 */
@Timeout(120)
class CommandsWithDaemonsTests {

	private static final String TOKEN = "operators-token-of-the-test";

	private static final String PROFILE = Path.of("../docs/examples/profile-lexica.yaml").toString();

	private final Vertx vertx = Vertx.vertx();

	private final SteadyInstantSource clock = SteadyInstantSource.create();

	private final LogServiceStandIn log = LogServiceStandIn.create(this.vertx, InMemoryLogService.create());

	private final VmListStandIn vmList = VmListStandIn.create(this.vertx, this.clock);

	private final List<SardineportDaemon> daemons = new ArrayList<>();

	private final List<DaemonSettings> settings = new ArrayList<>();

	private String output = "";

	@BeforeEach
	void start() throws IOException, InvalidDocumentException {
		this.log.start().toCompletableFuture().join();
		this.vmList.start().toCompletableFuture().join();
		NetworkAddress seed = FreeAddress.find();
		startDaemon("d1", "bole", seed, seed);
		startDaemon("d2", "kaliti", FreeAddress.find(), seed);
	}

	@AfterEach
	void stop() {
		this.daemons.forEach((daemon) -> daemon.stop().toCompletableFuture().join());
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Test
	void publicationIsReportedByAllLiveDaemons() {
		awaitStatus("member d2", "ready=true");
		assertThat(run("profile", "publish", "--accept-warnings", "--wait", "60", PROFILE)).as(() -> this.output)
			.isEqualTo(ExitCode.OK);
		assertThat(this.output).contains("Accepted as version 0; all live daemons report it.");
		assertThat(run("status")).isEqualTo(ExitCode.OK);
		assertThat(this.output).contains("daemon d1").contains("version=0 ready=true").contains("member d2");
		assertThat(run("entry", "--caller", this.settings.get(0).callerAddress().toString())).isEqualTo(ExitCode.OK);
		assertThat(this.output).contains(this.settings.get(1).callerAddress().toString()).contains("keep for");
	}

	private void awaitStatus(String... parts) {
		do {
			run("status");
		}
		while (!List.of(parts).stream().allMatch(this.output::contains));
	}

	private void startDaemon(String name, String failureDomain, NetworkAddress peer, NetworkAddress seed)
			throws IOException, InvalidDocumentException {
		DaemonSettings read = DaemonSettingsReader.create()
			.read("""
					fleet: lexica
					daemon: %s
					failureDomain: %s
					callerAddress: %s
					operatorAddress: %s
					peerAddress: %s
					seeds: ['%s']
					peerKeys: [0123456789abcdef0123456789abcdef]
					operatorToken: %s
					platform: {logService: %s, vmList: %s}
					callers: {keepTime: 1s}
					journal: {partitions: 2}
					stop: {linger: 1100ms}
					""".formatted(name, failureDomain, FreeAddress.find(), FreeAddress.find(), peer, seed, TOKEN,
					this.log.address(), this.vmList.address()));
		SardineportDaemon daemon = SardineportDaemon.create(read, this.clock);
		daemon.start().toCompletableFuture().join();
		this.daemons.add(daemon);
		this.settings.add(read);
	}

	private ExitCode run(String... arguments) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
		Console console = Console.of(stream, stream,
				Map.of("SARDINEPORT_LOG", this.log.address().toString(), "SARDINEPORT_OPERATOR",
						this.settings.get(0).operatorAddress().toString(), "SARDINEPORT_OPERATOR_TOKEN", TOKEN));
		ExitCode code = Main.run(console, arguments);
		this.output = out.toString(StandardCharsets.UTF_8);
		return code;
	}

}
