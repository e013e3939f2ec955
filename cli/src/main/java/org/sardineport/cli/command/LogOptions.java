package org.sardineport.cli.command;

import java.time.Duration;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.ranges.IntegerRange;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.sardineport.cli.Console;
import org.sardineport.cli.ExitCode;
import org.sardineport.cli.UsageException;
import org.sardineport.cli.configuration.StreamReplica;
import org.sardineport.core.error.SardineportException;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.daemon.platform.HttpLogService;

/**
 * Options for access to the configuration stream.
 */
public final class LogOptions {

	private static final String OPTION = "--log";

	private static final String VARIABLE = "SARDINEPORT_LOG";

	@Option(name = OPTION, title = "IP:PORT",
			description = "Address of the log service; default: environment variable " + VARIABLE)
	private String address = "";

	@Option(name = "--stream", title = "NAME", description = "Stream of the configuration; default: configuration")
	private String stream = "configuration";

	@Option(name = "--timeout", title = "SECONDS", description = "Time to wait for the log service; default: 10")
	@IntegerRange(min = 1, max = 600)
	private int timeoutSeconds = 10;

	/**
	 * Runs an action with a replica that has read the stream to its end. The connection
	 * to the log service is closed when the action returns.
	 * @param console source of environment variables
	 * @param action the action
	 * @return the exit code of the action
	 * @throws SardineportException if the address is missing or invalid, the log service
	 * fails, the stream has a gap, or the action fails
	 */
	ExitCode withReplica(Console console, Action action) throws SardineportException {
		NetworkAddress service = CliCommand.address(this.address, OPTION, VARIABLE, console)
			.orElseThrow(() -> CliCommand.missing("the log service", OPTION, VARIABLE));
		Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
		try {
			HttpLogService log = HttpLogService.create(vertx, service, timeout());
			StreamReplica replica = StreamReplica.create(log, this.stream, timeout());
			replica.readToEnd();
			if (replica.hasGap()) {
				throw UsageException.of(
						"the log no longer keeps all records, and holds no snapshot of the configuration",
						"Keep daemons running, which write snapshots, or publish to a new stream.");
			}
			return action.run(replica);
		}
		finally {
			vertx.close().toCompletionStage().toCompletableFuture().join();
		}
	}

	/**
	 * Returns the timeout of requests to the log service.
	 * @return the timeout
	 */
	Duration timeout() {
		return Duration.ofSeconds(this.timeoutSeconds);
	}

	/**
	 * Action on a replica of the configuration.
	 */
	interface Action {

		/**
		 * Runs the action.
		 * @param replica replica that has read the stream to its end
		 * @return the exit code
		 * @throws SardineportException if the action fails
		 */
		ExitCode run(StreamReplica replica) throws SardineportException;

	}

}
