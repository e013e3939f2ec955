package org.sardineport.daemon.telemetry;

import java.util.logging.Level;
import java.util.logging.Logger;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;

/**
 * Silences the libraries, whose lines add nothing to the events: each broken connection
 * is told by an event of our own. They log by the JDK, which needs no set-up at a start.
 */
public final class LibraryLogs {

	/** Held, as the JDK forgets the level of a logger that nobody holds. */
	private static final Logger NETTY = Logger.getLogger("io.netty");

	private static final Logger VERTX = Logger.getLogger("io.vertx");

	private LibraryLogs() {
	}

	/**
	 * Silences them. Called before any of them is used.
	 */
	public static void silence() {
		InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
		NETTY.setLevel(Level.OFF);
		VERTX.setLevel(Level.OFF);
	}

}
