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
 * A command of the command line.
 */
public abstract class CliCommand {

	private static final String JSON = "json";

	@Option(name = "--output", title = "FORMAT", description = "text (the default) or json")
	@AllowedRawValues(allowedValues = { "text", JSON })
	private String output = "text";

	/**
	 * Runs the command.
	 * @param console where it reads from and writes to
	 * @return the exit code
	 * @throws SardineportException if the command fails
	 * @throws IOException if a file cannot be read
	 */
	public abstract ExitCode run(Console console) throws SardineportException, IOException;

	/**
	 * Returns whether the result is to be written as JSON.
	 * @return whether JSON is wanted
	 */
	protected final boolean isJson() {
		return JSON.equals(this.output);
	}

	/**
	 * Returns an address that is given by an option or by an environment variable.
	 * @param value value of the option, empty if it is not given
	 * @param option name of the option
	 * @param variable name of the variable
	 * @param console the console
	 * @return the address, or empty if neither is given
	 * @throws UsageException if the text is no address
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
	 * Returns the error for an address that is not given.
	 * @param what what the address is of
	 * @param option name of the option
	 * @param variable name of the variable
	 * @return the error
	 */
	protected static UsageException missing(String what, String option, String variable) {
		return UsageException.of("the address of %s is not given".formatted(what),
				"Give it with %s ip:port or in the environment variable %s.".formatted(option, variable));
	}

}
