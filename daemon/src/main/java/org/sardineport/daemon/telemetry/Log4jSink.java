package org.sardineport.daemon.telemetry;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Writes events through Log4j, with one logger per source class.
 */
final class Log4jSink implements EventSink {

	private final ClassValue<Logger> loggers = new ClassValue<>() {

		@Override
		protected Logger computeValue(Class<?> source) {
			return LogManager.getLogger(source);
		}

	};

	@Override
	public boolean isEnabled(Class<?> source, EventLevel level) {
		return this.loggers.get(source).isEnabled(level.toLog4j());
	}

	@Override
	public void write(Class<?> source, EventLevel level, String line, @Nullable Throwable cause) {
		this.loggers.get(source).log(level.toLog4j(), line, cause);
	}

}
