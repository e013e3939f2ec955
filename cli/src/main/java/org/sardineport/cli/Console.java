package org.sardineport.cli;

import java.io.PrintStream;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/**
 * Standard output, standard error and environment variables of a command.
 */
public final class Console {

	private final PrintStream out;

	private final PrintStream err;

	private final Map<String, String> environment;

	private final ObjectMapper json = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

	private Console(PrintStream out, PrintStream err, Map<String, String> environment) {
		this.out = Objects.requireNonNull(out, "out must not be null");
		this.err = Objects.requireNonNull(err, "err must not be null");
		this.environment = Map.copyOf(environment);
	}

	/**
	 * Creates a console on the given streams.
	 * @param out stream for results
	 * @param err stream for progress and errors
	 * @param environment environment variables
	 * @return the console
	 */
	public static Console of(PrintStream out, PrintStream err, Map<String, String> environment) {
		return new Console(out, err, environment);
	}

	/**
	 * Returns a console on the streams and the environment of this process.
	 * @return the console
	 */
	public static Console system() {
		return of(System.out, System.err, System.getenv());
	}

	/**
	 * Writes a line of the result to standard output.
	 * @param line the line, without a line break
	 */
	public void line(String line) {
		this.out.println(line);
	}

	/**
	 * Writes the result as indented JSON to standard output.
	 * @param value the result, a record that Jackson can serialise
	 */
	public void json(Object value) {
		try {
			this.out.println(this.json.writeValueAsString(value));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("could not serialise the result as JSON", ex);
		}
	}

	/**
	 * Writes a line about progress or an error to standard error.
	 * @param line the line, without a line break
	 */
	public void note(String line) {
		this.err.println(line);
	}

	/**
	 * Returns the value of an environment variable.
	 * @param name name of the variable
	 * @return the value, or empty if it is unset or an empty string
	 */
	public Optional<String> environment(String name) {
		return Optional.ofNullable(this.environment.get(name)).filter((value) -> !value.isEmpty());
	}

}
