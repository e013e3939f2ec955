package org.sardineport.daemon.telemetry;

import org.jspecify.annotations.Nullable;

/**
 * Destination of events. Implementations are safe for use by any thread.
 */
interface EventSink {

	/**
	 * Returns whether events of a class and level are written.
	 * @param source class that logs
	 * @param level the level
	 * @return whether they are written
	 */
	boolean isEnabled(Class<?> source, EventLevel level);

	/**
	 * Writes an event.
	 * @param source class that logs
	 * @param level the level
	 * @param line the event, as one line of key=value pairs
	 * @param cause the exception that caused the event, or {@code null}
	 */
	void write(Class<?> source, EventLevel level, String line, @Nullable Throwable cause);

}
