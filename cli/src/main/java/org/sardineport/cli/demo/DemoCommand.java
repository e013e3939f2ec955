package org.sardineport.cli.demo;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.ranges.IntegerRange;
import io.vertx.core.Vertx;
import org.sardineport.cli.Console;
import org.sardineport.cli.ExitCode;
import org.sardineport.cli.Main;
import org.sardineport.cli.command.CliCommand;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.settings.DaemonSettings;

/**
 * Runs a fleet in this process, sends it a mix of requests, stops one daemon halfway, and
 * checks that the responses to callers match the requests that backend servers received.
 */
@Command(name = "demo", description = "Runs a fleet with stand-ins in one process and checks its promises")
@Examples(examples = "sardineport demo --seconds 10", descriptions = "Sends requests for ten seconds.")
public final class DemoCommand extends CliCommand {

	private static final String LOG_LEVEL = "sardineport.log.level";

	private static final int STOPPED_DAEMON = 3;

	@Option(name = "--seconds", title = "SECONDS", description = "Time for which requests are sent; default: 20")
	@IntegerRange(min = 4, max = 600)
	private int seconds = 20;

	@Option(name = "--hold", title = "SECONDS",
			description = "Time for which the fleet goes on serving afterwards, to try it by hand; default: 0")
	@IntegerRange(min = 0, max = 3600)
	private int holdSeconds = 0;

	@Option(name = "--seed", title = "NUMBER", description = "Seed of the mix of requests; default: 1")
	private long seed = 1;

	@Override
	public ExitCode run(Console console) throws IOException {
		if (System.getProperty(LOG_LEVEL) == null) {
			System.setProperty(LOG_LEVEL, "warn");
		}
		DemoFleet fleet = new DemoFleet(Vertx.vertx());
		fleet.start();
		console.note("started %d daemons in 3 failure domains, 2 model engines, a ledger".formatted(DemoFleet.DAEMONS));
		ExitCode published = publish(console, fleet);
		if (published != ExitCode.OK) {
			console.note("the profile was not published: " + published);
			return published;
		}
		DemoReport report = load(console, fleet);
		if (isJson()) {
			console.json(report);
		}
		else {
			report.write(console);
		}
		hold(console, fleet);
		fleet.stop();
		return (report.broken().isEmpty()) ? ExitCode.OK : ExitCode.FAILED;
	}

	private void hold(Console console, DemoFleet fleet) {
		if (this.holdSeconds > 0) {
			DaemonSettings first = fleet.settings().get(0);
			console.note("serving for %d s: callers http://%s operators http://%s with token %s"
				.formatted(this.holdSeconds, first.callerAddress(), first.operatorAddress(), DemoFleet.OPERATOR_TOKEN));
			LockSupport.parkNanos(Duration.ofSeconds(this.holdSeconds).toNanos());
		}
	}

	private ExitCode publish(Console console, DemoFleet fleet) throws IOException {
		Path file = Files.createTempFile("sardineport-demo", ".yaml");
		try (InputStream profile = DemoCommand.class.getResourceAsStream("profile.yaml")) {
			Files.write(file, profile.readAllBytes());
			Console inner = Console.of(System.err, System.err,
					Map.of("SARDINEPORT_OPERATOR_TOKEN", DemoFleet.OPERATOR_TOKEN, "USER", "demo"));
			return Main.run(inner, "profile", "publish", "--log", fleet.logService().toString(), "--operator",
					fleet.settings().get(0).operatorAddress().toString(), "--accept-warnings", file.toString());
		}
		finally {
			Files.delete(file);
		}
	}

	private DemoReport load(Console console, DemoFleet fleet) {
		Duration length = Duration.ofSeconds(this.seconds);
		List<NetworkAddress> contacts = fleet.settings().stream().map(DaemonSettings::callerAddress).toList();
		List<WorkItem> items = WorkPlan.create(this.seed, Instant.now(), length);
		console.note("sending %d requests within %d s".formatted(items.size(), this.seconds));
		List<CompletableFuture<CallResult>> pending = new DemoCallers(Vertx.vertx(), contacts).start(items);
		LockSupport.parkNanos(length.toNanos() / 2);
		console.note("stopping daemon-%d in a planned way".formatted(STOPPED_DAEMON));
		long stopStart = System.nanoTime();
		CompletableFuture<Long> stopped = fleet.stop(STOPPED_DAEMON)
			.thenApply((ignored) -> System.nanoTime() - stopStart)
			.toCompletableFuture();
		List<CallResult> results = pending.stream().map(CompletableFuture::join).toList();
		long stopMillis = TimeUnit.NANOSECONDS.toMillis(stopped.join());
		List<String> broken = PromiseCheck.check(results, fleet.dispatches());
		return DemoReport.of(results, fleet.engines(), stopMillis, broken);
	}

}
