package org.sardineport.core.journal;

import java.util.Objects;

import org.sardineport.core.identity.DaemonId;

/**
 * Identity of a process in its claims, and generator of their tokens. Not thread-safe.
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
	 * Returns a writer that has issued no tokens yet.
	 * @param daemon identifier of the daemon
	 * @param boot number of the process, unique among all processes of that daemon
	 * @return the writer
	 */
	public static JournalWriter create(DaemonId daemon, long boot) {
		return new JournalWriter(daemon, boot);
	}

	/**
	 * Returns the identifier of the daemon.
	 * @return identifier of the daemon
	 */
	public DaemonId daemon() {
		return this.daemon;
	}

	/**
	 * Returns the number of the process, unique among all processes of the daemon.
	 * @return number of the process
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
