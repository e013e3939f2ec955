package org.sardineport.standins.http;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

import org.sardineport.core.identity.NetworkAddress;

/**
 * Allocates loopback addresses that are free for TCP and UDP, each once per process. The
 * ports lie below the ephemeral range, from which the operating system takes ports for
 * outgoing connections, so that an address stays free while its daemon is replaced.
 * Thread-safe.
 */
public final class FreeAddress {

	private static final int FIRST_PORT = 10_000;

	private static final int PORTS = 20_000;

	private static final AtomicInteger NEXT = new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % PORTS));

	private FreeAddress() {
	}

	/**
	 * Returns a free address that this process has not returned before. Nothing reserves
	 * it: another process may still take the port.
	 * @return the address
	 * @throws IllegalStateException if no port of the range is free
	 */
	public static NetworkAddress find() {
		for (int attempts = 0; attempts < PORTS; attempts++) {
			int port = FIRST_PORT + NEXT.getAndIncrement() % PORTS;
			if (isFree(port)) {
				return NetworkAddress.of("127.0.0.1", port);
			}
		}
		throw new IllegalStateException("no port of the range is free for TCP and UDP");
	}

	private static boolean isFree(int port) {
		InetAddress loopback = InetAddress.getLoopbackAddress();
		try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
				DatagramSocket udp = new DatagramSocket(port, loopback)) {
			return tcp.isBound() && udp.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
