package org.sardineport.daemon.tunnel;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import org.jspecify.annotations.Nullable;

/**
 * Server side of a SOCKS version 5 handshake with name and password, for a connection to
 * a host given by name. Whatever deviates from it closes the connection. Confined to the
 * event loop.
 */
final class SocksHandshake {

	private static final byte VERSION = 5;

	private static final byte AUTHENTICATION_VERSION = 1;

	private static final byte METHOD_PASSWORD = 2;

	private static final byte COMMAND_CONNECT = 1;

	private static final byte ADDRESS_TYPE_NAME = 3;

	private static final byte ADDRESS_TYPE_IPV4 = 1;

	private static final byte SUCCEEDED = 0;

	private static final byte AUTHENTICATION_FAILED = 1;

	private static final byte HOST_UNREACHABLE = 4;

	/** Length of the port at the end of a request, in bytes. */
	private static final int PORT_BYTES = 2;

	/** Length of a request before the name of the host, in bytes. */
	private static final int REQUEST_HEAD_BYTES = 5;

	private final NetSocket socket;

	private final RecordParser parser;

	private final BiPredicate<String, String> authenticator;

	private Consumer<String> listener = (host) -> fail();

	private @Nullable Consumer<Buffer> step;

	/**
	 * Creates a handshake that has not begun.
	 * @param socket the connection
	 * @param authenticator accepts a name and password
	 */
	SocksHandshake(NetSocket socket, BiPredicate<String, String> authenticator) {
		this.socket = Objects.requireNonNull(socket, "socket must not be null");
		this.authenticator = Objects.requireNonNull(authenticator, "authenticator must not be null");
		this.parser = RecordParser.newFixed(2, this::received);
	}

	/**
	 * Begins with the first bytes of the connection.
	 * @param hostListener receives the name of the host once; must then call
	 * {@link #succeed()} or {@link #fail()}
	 */
	void begin(Consumer<String> hostListener) {
		this.listener = Objects.requireNonNull(hostListener, "hostListener must not be null");
		this.step = this::greeting;
		this.socket.handler(this.parser);
	}

	private void received(Buffer bytes) {
		Consumer<Buffer> current = this.step;
		if (current == null) {
			this.socket.close();
			return;
		}
		current.accept(bytes);
	}

	private void expect(int length, Consumer<Buffer> next) {
		this.step = next;
		this.parser.fixedSizeMode(length);
	}

	private void greeting(Buffer bytes) {
		if (bytes.getByte(0) != VERSION || bytes.getByte(1) == 0) {
			this.socket.close();
			return;
		}
		expect(bytes.getUnsignedByte(1), this::methods);
	}

	private void methods(Buffer bytes) {
		if (!contains(bytes, METHOD_PASSWORD)) {
			this.socket.close();
			return;
		}
		this.socket.write(Buffer.buffer().appendByte(VERSION).appendByte(METHOD_PASSWORD));
		expect(2, this::authenticationHead);
	}

	private static boolean contains(Buffer bytes, byte value) {
		for (int i = 0; i < bytes.length(); i++) {
			if (bytes.getByte(i) == value) {
				return true;
			}
		}
		return false;
	}

	private void authenticationHead(Buffer bytes) {
		if (bytes.getByte(0) != AUTHENTICATION_VERSION) {
			this.socket.close();
			return;
		}
		expect(bytes.getUnsignedByte(1) + 1, this::name);
	}

	// The last byte is the length of the password.
	private void name(Buffer bytes) {
		int length = bytes.length() - 1;
		String name = text(bytes, length);
		int passwordLength = bytes.getUnsignedByte(length);
		if (passwordLength == 0) {
			this.socket.close();
			return;
		}
		expect(passwordLength, (password) -> authenticate(name, text(password, password.length())));
	}

	private void authenticate(String name, String password) {
		if (!this.authenticator.test(name, password)) {
			this.step = null;
			this.socket.end(Buffer.buffer().appendByte(AUTHENTICATION_VERSION).appendByte(AUTHENTICATION_FAILED));
			return;
		}
		this.socket.write(Buffer.buffer().appendByte(AUTHENTICATION_VERSION).appendByte(SUCCEEDED));
		expect(REQUEST_HEAD_BYTES, this::requestHead);
	}

	private void requestHead(Buffer bytes) {
		int length = bytes.getUnsignedByte(REQUEST_HEAD_BYTES - 1);
		if (bytes.getByte(1) != COMMAND_CONNECT || bytes.getByte(3) != ADDRESS_TYPE_NAME || length == 0) {
			this.socket.close();
			return;
		}
		expect(length + PORT_BYTES, this::host);
	}

	private void host(Buffer bytes) {
		this.step = null;
		this.socket.pause();
		this.listener.accept(text(bytes, bytes.length() - PORT_BYTES));
	}

	private static String text(Buffer bytes, int length) {
		return bytes.getString(0, length, StandardCharsets.UTF_8.name());
	}

	/**
	 * Tells the client that the connection to the host is open.
	 */
	void succeed() {
		this.socket.write(reply(SUCCEEDED));
	}

	/**
	 * Tells the client that the host cannot be reached, and closes the connection.
	 */
	void fail() {
		this.socket.end(reply(HOST_UNREACHABLE));
	}

	private static Buffer reply(byte status) {
		return Buffer.buffer()
			.appendByte(VERSION)
			.appendByte(status)
			.appendByte((byte) 0)
			.appendByte(ADDRESS_TYPE_IPV4)
			.appendInt(0)
			.appendShort((short) 0);
	}

}
