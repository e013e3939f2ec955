package org.sardineport.core.identity;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * IP address and port of a process. Host names are rejected, so that handling a request
 * never involves a DNS lookup.
 *
 * @param ip the IPv4 or IPv6 address in text form
 * @param port the port, 1 to 65535
 */
public record NetworkAddress(String ip, int port) {

	private static final int MAX_PORT = 65535;

	/**
	 * Validates the address: the IP address may only contain hexadecimal digits, dots and
	 * colons.
	 * @throws IllegalArgumentException if the IP address has other characters or is
	 * empty, or the port is out of range
	 */
	public NetworkAddress {
		Objects.requireNonNull(ip, "ip must not be null");
		if (ip.isEmpty() || !ip.chars().allMatch(NetworkAddress::isNumericAddressCharacter)) {
			throw new IllegalArgumentException("address must be an IP number, found '%s'".formatted(ip));
		}
		if (port < 1 || port > MAX_PORT) {
			throw new IllegalArgumentException("port must be 1 to %d, found %d".formatted(MAX_PORT, port));
		}
	}

	/**
	 * Creates an address from a numeric IP address and a port.
	 * @param ip the IP address in text form
	 * @param port the port, 1 to 65535
	 * @return the address
	 */
	public static NetworkAddress of(String ip, int port) {
		return new NetworkAddress(ip, port);
	}

	/**
	 * Parses {@code ip:port}, with an IPv6 address in brackets.
	 * @param text the text
	 * @return the address
	 * @throws IllegalArgumentException if the text has another form or the port is out of
	 * range
	 */
	public static NetworkAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 0) {
			throw new IllegalArgumentException("address must be ip:port, found '%s'".formatted(text));
		}
		String ip = text.substring(0, colon);
		if (ip.startsWith("[") && ip.endsWith("]")) {
			ip = ip.substring(1, ip.length() - 1);
		}
		try {
			return new NetworkAddress(ip, Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("port must be a number, found '%s'".formatted(text), ex);
		}
	}

	private static boolean isNumericAddressCharacter(int character) {
		return Character.digit(character, 16) >= 0 || character == '.' || character == ':';
	}

	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof NetworkAddress that && this.port == that.port && this.ip.equals(that.ip);
	}

	@Override
	public int hashCode() {
		return 31 * this.ip.hashCode() + this.port;
	}

	@Override
	public String toString() {
		return ((this.ip.indexOf(':') >= 0) ? "[" + this.ip + "]" : this.ip) + ":" + this.port;
	}

}
