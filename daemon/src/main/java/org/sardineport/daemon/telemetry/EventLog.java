package org.sardineport.daemon.telemetry;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes one line of key=value pairs for each event. Values with spaces, quotes or
 * control characters are quoted, so that no value can forge a pair or a line. Safe for
 * use by any thread.
 */
public final class EventLog {

	private final Logger logger;

	private EventLog(Logger logger) {
		this.logger = logger;
	}

	/**
	 * Returns the log of a class.
	 * @param source the class
	 * @return the log
	 */
	public static EventLog of(Class<?> source) {
		return new EventLog(LogManager.getLogger(source));
	}

	/**
	 * Writes an event that operators may want to trace.
	 * @param event name of the event
	 * @param pairs keys and values in turn
	 */
	public void debug(String event, Object... pairs) {
		if (this.logger.isDebugEnabled()) {
			this.logger.debug(line(event, pairs));
		}
	}

	/**
	 * Writes an event of ordinary work.
	 * @param event name of the event
	 * @param pairs keys and values in turn
	 */
	public void info(String event, Object... pairs) {
		if (this.logger.isInfoEnabled()) {
			this.logger.info(line(event, pairs));
		}
	}

	/**
	 * Writes an event that operators should look at.
	 * @param event name of the event
	 * @param pairs keys and values in turn
	 */
	public void warn(String event, Object... pairs) {
		this.logger.warn(line(event, pairs));
	}

	/**
	 * Writes a fault with its cause.
	 * @param event name of the event
	 * @param cause the cause
	 * @param pairs keys and values in turn
	 */
	public void error(String event, Throwable cause, Object... pairs) {
		this.logger.error(line(event, pairs) + " error=" + quoted(String.valueOf(cause)), cause);
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

	private static String quoted(String value) {
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

}
