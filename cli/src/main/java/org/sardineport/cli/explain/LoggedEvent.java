package org.sardineport.cli.explain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One event of a log. Immutable.
 */
public final class LoggedEvent {

	private static final String EVENT = "event";

	private static final Pattern FIELD = Pattern.compile("([\\w-]+)=(\"((?:[^\"\\\\]|\\\\.)*)\"|\\S*)");

	private final Map<String, String> fields;

	private LoggedEvent(Map<String, String> fields) {
		this.fields = fields;
	}

	/**
	 * Reads a line.
	 * @param line the line, in any form with keys and values
	 * @return the event, or empty if the line holds none
	 */
	public static Optional<LoggedEvent> parse(String line) {
		Objects.requireNonNull(line, "line must not be null");
		Map<String, String> fields = new LinkedHashMap<>();
		Matcher matcher = FIELD.matcher(line);
		while (matcher.find()) {
			fields.putIfAbsent(matcher.group(1), (matcher.group(3) != null) ? matcher.group(3) : matcher.group(2));
		}
		return fields.containsKey(EVENT) ? Optional.of(new LoggedEvent(fields)) : Optional.empty();
	}

	/**
	 * Returns the name of the event.
	 * @return the name
	 */
	public String name() {
		return field(EVENT);
	}

	/**
	 * Returns a field.
	 * @param key its key
	 * @return its value, empty if the event has none
	 */
	public String field(String key) {
		return this.fields.getOrDefault(key, "");
	}

}
