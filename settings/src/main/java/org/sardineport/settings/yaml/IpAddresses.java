package org.sardineport.settings.yaml;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Arrays;
import java.util.regex.Pattern;

/**
 * Validation of IP addresses in text form, without name service lookups.
 */
final class IpAddresses {

	private static final Pattern IPV4 = Pattern.compile("(0|[1-9][0-9]{0,2})(\\.(0|[1-9][0-9]{0,2})){3}");

	private static final int MAX_IPV4_OCTET = 255;

	private IpAddresses() {
	}

	static boolean isValid(String ip) {
		if (ip.indexOf(':') >= 0) {
			return isValidIpv6(ip);
		}
		return IPV4.matcher(ip).matches() && Arrays.stream(ip.split("\\."))
			.mapToInt(Integer::parseInt)
			.allMatch((part) -> part <= MAX_IPV4_OCTET);
	}

	/**
	 * Returns whether an address is the unspecified address, 0.0.0.0 or ::, which other
	 * hosts can't connect to.
	 * @param ip a valid IP address
	 * @return whether the address is unspecified
	 */
	static boolean isUnspecified(String ip) {
		return ip.chars().allMatch((character) -> character == '0' || character == '.' || character == ':');
	}

	private static boolean isValidIpv6(String ip) {
		try {
			// A text with a colon is parsed as a literal address, without a lookup.
			InetAddress.getByName(ip);
			return true;
		}
		catch (UnknownHostException ex) {
			return false;
		}
	}

}
