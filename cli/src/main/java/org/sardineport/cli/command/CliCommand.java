package org.sardineport.cli.command;

import java.io.IOException;
import java.util.Optional;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import org.sardineport.cli.Console;
import org.sardineport.cli.ExitCode;
import org.sardineport.cli.UsageException;
import org.sardineport.core.error.SardineportException;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Base class of the commands.
 */
public abstract class CliCommand {

	private static final String JSON = "json";

	@Option(name = "--output", title = "FORMAT", description = "text (the default) or json")
	@AllowedRawValues(allowedValues = { "text", JSON })
	private String output = "text";

	/**
	 * Runs the command.
	 * @param console console for input and output
	 * @return the exit code
	 * @throws SardineportException if the command fails
	 * @throws IOException if a file cannot be read
	 */
	public abstract ExitCode run(Console console) throws SardineportException, IOException;

	/**
	 * Returns whether the result must be written as JSON instead of text.
	 * @return whether the output format is JSON
	 */
	protected final boolean isJson() {
		return JSON.equals(this.output);
	}

	/**
	 * Returns an address from an option or, if it is absent, an environment variable.
	 * @param value value of the option; empty if it is absent
	 * @param option name of the option, for messages
	 * @param variable name of the environment variable
	 * @param console source of environment variables
	 * @return the address, or empty if both are absent
	 * @throws UsageException if the value is not a valid address
	 */
	protected static Optional<NetworkAddress> address(String value, String option, String variable, Console console)
			throws UsageException {
		Optional<String> text = value.isEmpty() ? console.environment(variable) : Optional.of(value);
		if (text.isEmpty()) {
			return Optional.empty();
		}
		try {
			return Optional.of(NetworkAddress.parse(text.get()));
		}
		catch (IllegalArgumentException ex) {
			throw UsageException.of("%s or %s: %s".formatted(option, variable, ex.getMessage()),
					"Write ip:port with an IP number.");
		}
	}

	/**
	 * Creates the exception for a missing address.
	 * @param what service or port that the address belongs to
	 * @param option name of the option
	 * @param variable name of the environment variable
	 * @return the exception
	 */
	protected static UsageException missing(String what, String option, String variable) {
		return UsageException.of("missing the address of %s".formatted(what),
				"Give it with %s ip:port or in the environment variable %s.".formatted(option, variable));
	}

}
