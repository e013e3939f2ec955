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
import org.sardineport.cli.explain.RequestStory;
import org.sardineport.core.error.SardineportException;

/**
 * Tells what became of one request, from the logs of several daemons.
 */
@Command(name = "explain", description = "Tells from logs what became of a request, and why")
@Examples(examples = "sardineport explain 9c41d07be2a35f68 front-1.log front-2.log",
		descriptions = "Tells the story of one request over two daemons' logs.")
public final class ExplainCommand extends CliCommand {

	@Arguments(title = { "REQUEST-ID", "FILE" },
			description = "The request's identity, then files with logs; standard input without files")
	private List<String> arguments = new ArrayList<>();

	@Override
	public ExitCode run(Console console) throws SardineportException, IOException {
		if (this.arguments.isEmpty()) {
			throw UsageException.of("the request's identity is not given", "Give it as the first argument.");
		}
		RequestStory story = RequestStory.gather(this.arguments.get(0), lines());
		if (isJson()) {
			console.json(story.lines());
		}
		else {
			story.lines().forEach(console::line);
		}
		return story.isKnown() ? ExitCode.OK : ExitCode.UNKNOWN;
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
