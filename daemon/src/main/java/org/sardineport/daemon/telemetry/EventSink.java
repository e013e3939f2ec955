package org.sardineport.daemon.telemetry;

import org.jspecify.annotations.Nullable;

/**
 * Where events are written. Safe for use by any thread.
 */
interface EventSink {

	/**
	 * Returns whether events of a level are written.
	 * @param source class that logs
	 * @param level the level
	 * @return whether they are
	 */
	boolean isEnabled(Class<?> source, EventLevel level);

	/**
	 * Writes an event.
	 * @param source class that logs
	 * @param level the level
	 * @param line the event, as one line of key=value pairs
	 * @param cause the fault behind it, or {@code null}
	 */
	void write(Class<?> source, EventLevel level, String line, @Nullable Throwable cause);

}
