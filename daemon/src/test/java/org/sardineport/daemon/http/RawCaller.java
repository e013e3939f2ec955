package org.sardineport.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.sardineport.core.identity.NetworkAddress;

/**
 * A caller on a plain socket that sends arbitrary bytes, such as incomplete or malformed
 * requests, and can disconnect at any point.
 */
final class RawCaller implements AutoCloseable {

	private static final int TIMEOUT_MILLIS = 20_000;

	private final Socket socket = new Socket();

	RawCaller(NetworkAddress address) throws IOException {
		this.socket.setReceiveBufferSize(4096);
		this.socket.connect(new InetSocketAddress(address.ip(), address.port()), TIMEOUT_MILLIS);
		this.socket.setSoTimeout(TIMEOUT_MILLIS);
	}

	void send(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		this.socket.getOutputStream().flush();
	}

	/** Sends a request head with valid profile and organisation headers. */
	void sendHead(String requestLine, String... headers) throws IOException {
		StringBuilder head = new StringBuilder(requestLine).append(" HTTP/1.1\r\nHost: sardineport\r\n")
			.append("Sardineport-Profile: dictionary\r\nSardineport-Organisation: schools\r\n");
		for (String header : headers) {
			head.append(header).append("\r\n");
		}
		send(head.append("\r\n").toString());
	}

	/**
	 * Reads until a text is received or the connection ends, and returns all text read.
	 */
	String readUntil(String text) throws IOException {
		StringBuilder read = new StringBuilder();
		InputStream in = this.socket.getInputStream();
		int next = in.read();
		while (next >= 0) {
			read.append((char) next);
			if (read.indexOf(text) >= 0) {
				return read.toString();
			}
			next = in.read();
		}
		return read.toString();
	}

	/** Reads until the connection ends. */
	String readAll() throws IOException {
		return readUntil("this text is in no answer");
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
