package org.sardineport.daemon.telemetry;

import java.util.logging.Level;
import java.util.logging.Logger;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;

/**
 * Disables the logs of Netty and Vert.x. Their lines add no information, since the daemon
 * logs an event of its own for each broken connection. The libraries log through the JDK,
 * which needs no initialization at start-up.
 */
public final class LibraryLogs {

	/**
	 * Strong reference: the JDK holds loggers weakly and loses the level of a collected
	 * one.
	 */
	private static final Logger NETTY = Logger.getLogger("io.netty");

	private static final Logger VERTX = Logger.getLogger("io.vertx");

	private LibraryLogs() {
	}

	/**
	 * Disables the logs. Must be called before any of these libraries is used.
	 */
	public static void silence() {
		InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
		NETTY.setLevel(Level.OFF);
		VERTX.setLevel(Level.OFF);
	}

}
