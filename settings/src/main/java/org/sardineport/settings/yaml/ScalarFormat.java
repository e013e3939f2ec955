package org.sardineport.settings.yaml;

import java.util.Objects;
import java.util.function.Function;

/**
 * Format of a scalar value: its parser and the description used in faults. Immutable.
 *
 * @param <T> type of the value
 */
public final class ScalarFormat<T> {

	private final String expectation;

	private final boolean secret;

	private final Function<String, T> parser;

	private ScalarFormat(String expectation, boolean secret, Function<String, T> parser) {
		this.expectation = Objects.requireNonNull(expectation, "expectation must not be null");
		this.secret = secret;
		this.parser = Objects.requireNonNull(parser, "parser must not be null");
	}

	/**
	 * Creates a format.
	 * @param expectation description of a valid value, to follow the word "write"
	 * @param parser parses the text; throws {@link IllegalArgumentException} if it is
	 * invalid
	 * @param <T> type of the value
	 * @return the format
	 */
	public static <T> ScalarFormat<T> of(String expectation, Function<String, T> parser) {
		return new ScalarFormat<>(expectation, false, parser);
	}

	/**
	 * Creates a format whose values never appear in a fault.
	 * @param expectation description of a valid value, to follow the word "write"
	 * @param parser parses the text; throws {@link IllegalArgumentException} if it is
	 * invalid
	 * @param <T> type of the value
	 * @return the format
	 */
	public static <T> ScalarFormat<T> secret(String expectation, Function<String, T> parser) {
		return new ScalarFormat<>(expectation, true, parser);
	}

	T parse(String text) {
		if (text.isEmpty()) {
			throw new IllegalArgumentException("value must not be empty");
		}
		return this.parser.apply(text);
	}

	String describe(String text) {
		if (text.isEmpty()) {
			return "nothing";
		}
		return this.secret ? "a value of %d characters".formatted(text.length()) : FaultList.quote(text);
	}

	String expectation() {
		return this.expectation;
	}

}
