package org.sardineport.daemon.telemetry;

import org.apache.logging.log4j.Level;

/**
 * Severity of an event.
 */
enum EventLevel {

	/** Details for diagnosing an error. */
	DEBUG,

	/** Normal operation. */
	INFO,

	/** A condition that operators should look at. */
	WARN,

	/** An error. */
	ERROR;

	/**
	 * Returns whether events of this level may be dropped under load.
	 * @return {@code true} for {@link #DEBUG} and {@link #INFO}
	 */
	boolean isDroppable() {
		return this == DEBUG || this == INFO;
	}

	Level toLog4j() {
		return switch (this) {
			case DEBUG -> Level.DEBUG;
			case INFO -> Level.INFO;
			case WARN -> Level.WARN;
			case ERROR -> Level.ERROR;
		};
	}

}
