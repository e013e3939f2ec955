package org.sardineport.daemon.telemetry;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Writes one line of key=value pairs for each event. Values with spaces, quotes or
 * control characters are quoted, so that no value can forge a pair or a line. Events go
 * to Log4j, unless the program has named another sink. Safe for use by any thread.
 */
public final class EventLog {

	private static volatile @Nullable EventSink sink;

	private final Class<?> source;

	private EventLog(Class<?> source) {
		this.source = Objects.requireNonNull(source, "source must not be null");
	}

	/**
	 * Names where events go from now on.
	 * @param target the sink
	 */
	static void sendTo(EventSink target) {
		sink = Objects.requireNonNull(target, "target must not be null");
	}

	/**
	 * Returns the log of a class.
	 * @param source the class
	 * @return the log
	 */
	public static EventLog of(Class<?> source) {
		return new EventLog(source);
	}

	/**
	 * Writes an event that operators may want to trace.
	 * @param event name of the event
	 * @param pairs keys and values in turn
	 */
	public void debug(String event, Object... pairs) {
		write(EventLevel.DEBUG, event, pairs);
	}

	/**
	 * Writes an event of ordinary work.
	 * @param event name of the event
	 * @param pairs keys and values in turn
	 */
	public void info(String event, Object... pairs) {
		write(EventLevel.INFO, event, pairs);
	}

	/**
	 * Writes an event that operators should look at.
	 * @param event name of the event
	 * @param pairs keys and values in turn
	 */
	public void warn(String event, Object... pairs) {
		write(EventLevel.WARN, event, pairs);
	}

	/**
	 * Writes a fault with its cause.
	 * @param event name of the event
	 * @param cause the cause
	 * @param pairs keys and values in turn
	 */
	public void error(String event, Throwable cause, Object... pairs) {
		String line = line(event, pairs) + " error=" + quoted(String.valueOf(cause));
		sink().write(this.source, EventLevel.ERROR, line, cause);
	}

	private void write(EventLevel level, String event, Object... pairs) {
		EventSink target = sink();
		if (target.isEnabled(this.source, level)) {
			target.write(this.source, level, line(event, pairs), null);
		}
	}

	private static EventSink sink() {
		EventSink named = sink;
		return (named != null) ? named : Log4jHolder.SINK;
	}

	static String line(String event, Object... pairs) {
		if (pairs.length % 2 != 0) {
			throw new IllegalArgumentException("pairs must hold keys and values in turn, found " + pairs.length);
		}
		StringBuilder line = new StringBuilder("event=").append(event);
		for (int i = 0; i < pairs.length; i += 2) {
			line.append(' ').append(pairs[i]).append('=').append(quoted(String.valueOf(pairs[i + 1])));
		}
		return line.toString();
	}

	static String quoted(String value) {
		if (!value.isEmpty() && value.chars().allMatch(EventLog::isPlain)) {
			return value;
		}
		StringBuilder quoted = new StringBuilder("\"");
		value.chars().forEach((character) -> appendEscaped(quoted, (char) character));
		return quoted.append('"').toString();
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
	 * Loads Log4j when it is used first.
	 */
	private static final class Log4jHolder {

		private static final EventSink SINK = new Log4jSink();

	}

}
