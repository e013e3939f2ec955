package org.sardineport.core.quarantine;

/**
 * What the other connections of a daemon to a process of a backend server tell of it,
 * some time after one connection broke. The connections of a process that crashes close
 * one after the other, and some may have been cut off silently before; a network that
 * breaks a connection leaves the process able to respond on others.
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
	 * @return {@code true} if no connection shows that it lives, and another one closed
	 * or there was none
	 */
	public boolean indicatesCrash() {
		return this.responding == 0 && (this.closedByServer > 0 || this.others == 0);
	}

}
