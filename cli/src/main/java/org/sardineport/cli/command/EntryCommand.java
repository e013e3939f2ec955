package org.sardineport.cli.command;

import java.time.Duration;
import java.util.Optional;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import org.sardineport.cli.Console;
import org.sardineport.cli.ExitCode;
import org.sardineport.cli.operator.DaemonClient;
import org.sardineport.cli.operator.EntryResponse;
import org.sardineport.core.error.SardineportException;

/**
 * Shows the entry addresses that a daemon returns to callers.
 */
@Command(name = "entry", description = "Shows the entry addresses that callers receive")
@Examples(examples = "sardineport entry --caller 10.1.0.11:8080",
		descriptions = "Shows the entry addresses from the daemon at this address.")
public final class EntryCommand extends CliCommand {

	private static final String OPTION = "--caller";

	private static final String VARIABLE = "SARDINEPORT_CALLER";

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	@Option(name = OPTION, title = "IP:PORT",
			description = "Callers' port of any daemon; default: environment variable " + VARIABLE)
	private String address = "";

	@Override
	public ExitCode run(Console console) throws SardineportException {
		EntryResponse response = DaemonClient
			.of(address(this.address, OPTION, VARIABLE, console)
				.orElseThrow(() -> missing("a daemon's callers' port", OPTION, VARIABLE)), Optional.empty(), TIMEOUT)
			.entry();
		if (isJson()) {
			console.json(response);
		}
		else {
			response.addresses().forEach(console::line);
			console.line("keep for %d s".formatted(response.keepSeconds()));
		}
		return ExitCode.OK;
	}

}
