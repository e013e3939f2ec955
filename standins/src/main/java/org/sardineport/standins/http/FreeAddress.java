package org.sardineport.standins.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;

import org.sardineport.core.identity.NetworkAddress;

/**
 * Finds free loopback addresses.
 */
public final class FreeAddress {

	private FreeAddress() {
	}

	/**
	 * Returns an address whose port was free a moment ago.
	 * @return the address
	 */
	public static NetworkAddress find() {
		try (ServerSocket socket = new ServerSocket(0)) {
			return NetworkAddress.of("127.0.0.1", socket.getLocalPort());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
