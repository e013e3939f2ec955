package org.sardineport.daemon.telemetry;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Writes one line of key=value pairs for each event. Values with spaces, quotes or
 * control characters are quoted, so that no value can inject a pair or a line. Events go
 * to Log4j unless another sink is set. Safe for use by any thread.
 */
public final class EventLog {

	private static volatile @Nullable EventSink sink;

	private final Class<?> source;

	private EventLog(Class<?> source) {
		this.source = Objects.requireNonNull(source, "source must not be null");
	}

	/**
	 * Sends all further events of the process to a sink.
	 * @param target the sink, in place of Log4j
	 */
	static void setSink(EventSink target) {
		sink = Objects.requireNonNull(target, "target must not be null");
	}

	/**
	 * Returns a log whose events name a class as their source.
	 * @param source the class
	 * @return the log
	 */
	public static EventLog of(Class<?> source) {
		return new EventLog(source);
	}

	/**
	 * Writes an event with details for diagnosing an error.
	 * @param event name of the event
	 * @param pairs alternating keys and values
	 */
	public void debug(String event, Object... pairs) {
		write(EventLevel.DEBUG, event, pairs);
	}

	/**
	 * Writes an event of normal operation.
	 * @param event name of the event
	 * @param pairs alternating keys and values
	 */
	public void info(String event, Object... pairs) {
		write(EventLevel.INFO, event, pairs);
	}

	/**
	 * Writes an event that operators should look at.
	 * @param event name of the event
	 * @param pairs alternating keys and values
	 */
	public void warn(String event, Object... pairs) {
		write(EventLevel.WARN, event, pairs);
	}

	/**
	 * Writes an error with its cause. The line ends with an {@code error} pair that holds
	 * the cause's type and message.
	 * @param event name of the event
	 * @param cause the exception
	 * @param pairs alternating keys and values
	 */
	public void error(String event, Throwable cause, Object... pairs) {
		String line = formatLine(event, pairs) + " error=" + quoteIfNeeded(String.valueOf(cause));
		sink().write(this.source, EventLevel.ERROR, line, cause);
	}

	private void write(EventLevel level, String event, Object... pairs) {
		EventSink target = sink();
		if (target.isEnabled(this.source, level)) {
			target.write(this.source, level, formatLine(event, pairs), null);
		}
	}

	private static EventSink sink() {
		EventSink configured = sink;
		return (configured != null) ? configured : Log4jHolder.SINK;
	}

	static String formatLine(String event, Object... pairs) {
		if (pairs.length % 2 != 0) {
			throw new IllegalArgumentException("pairs must hold keys and values in turn, found " + pairs.length);
		}
		StringBuilder line = new StringBuilder("event=").append(event);
		for (int i = 0; i < pairs.length; i += 2) {
			line.append(' ').append(pairs[i]).append('=').append(quoteIfNeeded(String.valueOf(pairs[i + 1])));
		}
		return line.toString();
	}

	static String quoteIfNeeded(String value) {
		if (!value.isEmpty() && isPlain(value)) {
			return value;
		}
		StringBuilder quoted = new StringBuilder("\"");
		value.chars().forEach((character) -> appendEscaped(quoted, (char) character));
		return quoted.append('"').toString();
	}

	private static boolean isPlain(String value) {
		for (int i = 0; i < value.length(); i++) {
			if (!isPlain(value.charAt(i))) {
				return false;
			}
		}
		return true;
	}

	private static boolean isPlain(int character) {
		return character > ' ' && character < 127 && character != '"' && character != '=' && character != '\\';
	}

	private static void appendEscaped(StringBuilder out, char character) {
		if (character == '"' || character == '\\') {
			out.append('\\').append(character);
		}
		else if (Character.isISOControl(character)) {
			out.append("\\u%04x".formatted((int) character));
		}
		else {
			out.append(character);
		}
	}

	/**
	 * Defers the loading of Log4j until its first use.
	 */
	private static final class Log4jHolder {

		private static final EventSink SINK = new Log4jSink();

	}

}
