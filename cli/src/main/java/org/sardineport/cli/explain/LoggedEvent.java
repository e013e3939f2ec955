package org.sardineport.cli.explain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An event parsed from a log line. Immutable.
 */
public final class LoggedEvent {

	private static final String EVENT = "event";

	private static final Pattern FIELD = Pattern.compile("([\\w-]+)=(\"((?:[^\"\\\\]|\\\\.)*)\"|\\S*)");

	private final Map<String, String> fields;

	private LoggedEvent(Map<String, String> fields) {
		this.fields = fields;
	}

	/**
	 * Parses a log line.
	 * @param line a line with fields in the form {@code key=value} or
	 * {@code key="quoted value"}; other text is ignored
	 * @return the event, or empty if the line has no field {@code event}
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
	 * Returns the value of a field.
	 * @param key key of the field
	 * @return the value, or an empty string if the event has no such field
	 */
	public String field(String key) {
		return this.fields.getOrDefault(key, "");
	}

}
