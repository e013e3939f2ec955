package org.sardineport.core.quarantine;

/**
 * State of a daemon's other connections to a process of a backend server, some time after
 * one connection to it broke. When a process crashes, its connections close one after
 * another, except those that the network had cut off silently. When only the network
 * broke a connection, the process still responds on others.
 *
 * @param others connections that were open shortly before the break, without the broken
 * one
 * @param closedByServer how many of these the backend server has closed
 * @param responding how many of these are open and have received data since the break
 */
public record CrashEvidence(int others, int closedByServer, int responding) {

	/**
	 * Creates the evidence.
	 * @throws IllegalArgumentException if a number is negative or above {@code others}
	 */
	public CrashEvidence {
		if (closedByServer < 0 || responding < 0 || closedByServer + responding > others) {
			throw new IllegalArgumentException(
					"closedByServer and responding must be parts of others, found %d and %d of %d"
						.formatted(closedByServer, responding, others));
		}
	}

	/**
	 * Returns whether the process has probably crashed.
	 * @return {@code true} if it has responded on no connection, and has closed another
	 * one or there was none
	 */
	public boolean indicatesCrash() {
		return this.responding == 0 && (this.closedByServer > 0 || this.others == 0);
	}

}
