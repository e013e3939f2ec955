package org.sardineport.cli;

import java.io.PrintStream;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/**
 * What a command reads from and writes to: standard output, standard error and the
 * environment.
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
	 * Returns a console.
	 * @param out standard output
	 * @param err standard error
	 * @param environment environment variables
	 * @return the console
	 */
	public static Console of(PrintStream out, PrintStream err, Map<String, String> environment) {
		return new Console(out, err, environment);
	}

	/**
	 * Returns the console of this process.
	 * @return the console
	 */
	public static Console system() {
		return of(System.out, System.err, System.getenv());
	}

	/**
	 * Writes a line of the result.
	 * @param line the line
	 */
	public void line(String line) {
		this.out.println(line);
	}

	/**
	 * Writes the result as JSON.
	 * @param value a record of the result
	 */
	public void json(Object value) {
		try {
			this.out.println(this.json.writeValueAsString(value));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("value must be writable as JSON", ex);
		}
	}

	/**
	 * Writes a line about the course of the command.
	 * @param line the line
	 */
	public void note(String line) {
		this.err.println(line);
	}

	/**
	 * Returns an environment variable.
	 * @param name its name
	 * @return its value, or empty if it is not set
	 */
	public Optional<String> environment(String name) {
		return Optional.ofNullable(this.environment.get(name)).filter((value) -> !value.isEmpty());
	}

}
