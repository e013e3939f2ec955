package org.sardineport.core.journal;

import java.util.Objects;

import org.sardineport.core.identity.DaemonId;

/**
 * One process as it signs its claims. Not safe for use by several threads.
 */
public final class JournalWriter {

	private final DaemonId daemon;

	private final long boot;

	private long tokens;

	private JournalWriter(DaemonId daemon, long boot) {
		this.daemon = Objects.requireNonNull(daemon, "daemon must not be null");
		this.boot = boot;
	}

	/**
	 * Returns a process that has made no claims yet.
	 * @param daemon name of the daemon
	 * @param boot number that no other process of that daemon has
	 * @return the process
	 */
	public static JournalWriter create(DaemonId daemon, long boot) {
		return new JournalWriter(daemon, boot);
	}

	/**
	 * Returns the name of the daemon.
	 * @return the name
	 */
	public DaemonId daemon() {
		return this.daemon;
	}

	/**
	 * Returns the number of the process.
	 * @return the number
	 */
	public long boot() {
		return this.boot;
	}

	String nextToken() {
		this.tokens++;
		return "%s.%s.%s".formatted(this.daemon, Long.toUnsignedString(this.boot, Character.MAX_RADIX),
				Long.toString(this.tokens, Character.MAX_RADIX));
	}

}
