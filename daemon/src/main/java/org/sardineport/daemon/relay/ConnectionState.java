package org.sardineport.daemon.relay;

import java.util.Locale;

/**
 * Whether a connection to a backend server is open, or who has closed it.
 */
enum ConnectionState {

	/** The connection is open. */
	OPEN,

	/** This daemon has closed the connection. */
	CLOSED_HERE,

	/** The backend server or the network has closed the connection. */
	CLOSED_BY_SERVER;

	/**
	 * Returns the name in logs.
	 * @return the name in lower case with dashes
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
