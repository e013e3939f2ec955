package org.sardineport.cli;

import java.io.IOException;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.sardineport.cli.command.CliCommand;
import org.sardineport.cli.command.EntryCommand;
import org.sardineport.cli.command.ExplainCommand;
import org.sardineport.cli.command.ProfileCheckCommand;
import org.sardineport.cli.command.ProfileDiffCommand;
import org.sardineport.cli.command.ProfileListCommand;
import org.sardineport.cli.command.ProfilePublishCommand;
import org.sardineport.cli.command.ProfileReplaceCommand;
import org.sardineport.cli.command.ProfileRetireCommand;
import org.sardineport.cli.command.ProfileShowCommand;
import org.sardineport.cli.command.StatusCommand;
import org.sardineport.cli.demo.DemoCommand;
import org.sardineport.cli.operator.DaemonUnreachableException;
import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.core.error.SardineportException;
import org.sardineport.core.port.log.LogServiceException;

/**
 * Entry point of the command line for operators.
 */
@Cli(name = "sardineport", description = "Operates a fleet of sardineport daemons",
		commands = { Help.class, StatusCommand.class, EntryCommand.class, ExplainCommand.class, DemoCommand.class },
		groups = @Group(name = "profile", description = "Publishes, replaces, retires and shows profiles",
				commands = { ProfilePublishCommand.class, ProfileReplaceCommand.class, ProfileRetireCommand.class,
						ProfileListCommand.class, ProfileShowCommand.class, ProfileDiffCommand.class,
						ProfileCheckCommand.class }))
public final class Main {

	private Main() {
	}

	/**
	 * Runs a command and exits the process with its exit code.
	 * @param arguments the command and its options
	 */
	public static void main(String[] arguments) {
		System.exit(run(Console.system(), arguments).code());
	}

	/**
	 * Runs a command without exiting the process.
	 * @param console console for input and output
	 * @param arguments the command and its options
	 * @return the exit code
	 */
	public static ExitCode run(Console console, String... arguments) {
		Object command;
		try {
			command = new com.github.rvesse.airline.Cli<>(Main.class).parse(arguments);
		}
		catch (ParseException ex) {
			console.note(ex.getMessage());
			console.note("Run 'sardineport help' for the commands, 'sardineport help profile publish' for one.");
			return ExitCode.USAGE;
		}
		if (command instanceof CliCommand cliCommand) {
			return run(console, cliCommand);
		}
		((Runnable) command).run();
		return ExitCode.OK;
	}

	private static ExitCode run(Console console, CliCommand command) {
		try {
			return command.run(console);
		}
		catch (InvalidDocumentException ex) {
			return fail(console, ex, ExitCode.INVALID);
		}
		catch (LogServiceException | DaemonUnreachableException ex) {
			return fail(console, ex, ExitCode.UNAVAILABLE);
		}
		catch (UsageException ex) {
			return fail(console, ex, ExitCode.USAGE);
		}
		catch (SardineportException ex) {
			return fail(console, ex, ExitCode.FAILED);
		}
		catch (IOException ex) {
			console.note("File cannot be read: " + ex);
			return ExitCode.USAGE;
		}
	}

	private static ExitCode fail(Console console, SardineportException error, ExitCode code) {
		console.note(error.getMessage());
		console.note("Remedy: " + error.remedy());
		return code;
	}

}
