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
 * Shows which addresses a caller would be told.
 */
@Command(name = "entry", description = "Shows which addresses a caller would be told to use")
@Examples(examples = "sardineport entry --caller 10.1.0.11:8080",
		descriptions = "Shows what the daemon at this address tells callers.")
public final class EntryCommand extends CliCommand {

	private static final String OPTION = "--caller";

	private static final String VARIABLE = "SARDINEPORT_CALLER";

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	@Option(name = OPTION, title = "IP:PORT",
			description = "Callers' port of any daemon; default: environment variable " + VARIABLE)
	private String address = "";

	@Override
	public ExitCode run(Console console) throws SardineportException {
		EntryResponse answer = DaemonClient
			.of(address(this.address, OPTION, VARIABLE, console)
				.orElseThrow(() -> missing("a daemon's callers' port", OPTION, VARIABLE)), Optional.empty(), TIMEOUT)
			.entry();
		if (isJson()) {
			console.json(answer);
		}
		else {
			answer.addresses().forEach(console::line);
			console.line("keep for %d s".formatted(answer.keepSeconds()));
		}
		return ExitCode.OK;
	}

}
