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

	private static final int IPV4_PARTS = 4;

	private static final int MAX_OCTET = 255;

	private static final int MAX_OCTET_DIGITS = 3;

	/**
	 * Validates the address: four numbers with dots between them, or only hexadecimal
	 * digits, dots and at least one colon.
	 * @throws IllegalArgumentException if the IP address has another form, or the port is
	 * out of range
	 */
	public NetworkAddress {
		Objects.requireNonNull(ip, "ip must not be null");
		if (!isNumeric(ip)) {
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

	// A text with a colon is never looked up as a host name, whatever its digits.
	private static boolean isNumeric(String ip) {
		return (ip.indexOf(':') >= 0) ? ip.chars().allMatch(NetworkAddress::isIpv6Character) : isIpv4(ip);
	}

	private static boolean isIpv6Character(int character) {
		return (character < 0x80 && Character.digit(character, 16) >= 0) || character == '.' || character == ':';
	}

	private static boolean isIpv4(String ip) {
		int parts = 0;
		int from = 0;
		while (from <= ip.length()) {
			int dot = ip.indexOf('.', from);
			int to = (dot < 0) ? ip.length() : dot;
			if (!isOctet(ip, from, to)) {
				return false;
			}
			parts++;
			from = to + 1;
		}
		return parts == IPV4_PARTS;
	}

	private static boolean isOctet(String ip, int from, int to) {
		if (to == from || to - from > MAX_OCTET_DIGITS) {
			return false;
		}
		int value = 0;
		for (int i = from; i < to; i++) {
			char character = ip.charAt(i);
			if (character < '0' || character > '9') {
				return false;
			}
			value = 10 * value + (character - '0');
		}
		return value <= MAX_OCTET;
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
