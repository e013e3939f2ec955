package org.sardineport.daemon.telemetry;

import org.apache.logging.log4j.Level;

/**
 * How much an event matters to operators.
 */
enum EventLevel {

	/** Of use when tracing a fault. */
	DEBUG,

	/** Ordinary work. */
	INFO,

	/** To be looked at. */
	WARN,

	/** A fault. */
	ERROR;

	/**
	 * Returns whether an event may be left out when there are too many.
	 * @return whether it tells of ordinary work only
	 */
	boolean isOrdinary() {
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
