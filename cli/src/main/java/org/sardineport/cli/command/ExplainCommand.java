package org.sardineport.cli.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.sardineport.cli.Console;
import org.sardineport.cli.ExitCode;
import org.sardineport.cli.UsageException;
import org.sardineport.cli.explain.RequestHistory;
import org.sardineport.core.error.SardineportException;

/**
 * Shows the course and the outcome of a request from the logs of several daemons.
 */
@Command(name = "explain", description = "Shows the course and the outcome of a request from daemon logs")
@Examples(examples = "sardineport explain 9c41d07be2a35f68 front-1.log front-2.log",
		descriptions = "Shows the events of one request in the logs of two daemons.")
public final class ExplainCommand extends CliCommand {

	@Arguments(title = { "REQUEST-ID", "FILE" },
			description = "Id of the request, then log files; standard input if there are none")
	private List<String> arguments = new ArrayList<>();

	@Override
	public ExitCode run(Console console) throws SardineportException, IOException {
		if (this.arguments.isEmpty()) {
			throw UsageException.of("missing the id of the request", "Give it as the first argument.");
		}
		RequestHistory history = RequestHistory.fromLogs(this.arguments.get(0), lines());
		if (isJson()) {
			console.json(history.lines());
		}
		else {
			history.lines().forEach(console::line);
		}
		return history.isKnown() ? ExitCode.OK : ExitCode.UNKNOWN;
	}

	private List<String> lines() throws IOException {
		List<String> files = this.arguments.subList(1, this.arguments.size());
		List<String> lines = new ArrayList<>();
		for (String file : files) {
			lines.addAll(Files.readAllLines(Path.of(file)));
		}
		if (files.isEmpty()) {
			new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)).lines().forEach(lines::add);
		}
		return lines;
	}

}
