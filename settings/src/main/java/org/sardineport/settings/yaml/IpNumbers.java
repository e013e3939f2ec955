package org.sardineport.settings.yaml;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Arrays;
import java.util.regex.Pattern;

/**
 * Checks of IP addresses in text form that never ask a name service.
 */
final class IpNumbers {

	private static final Pattern IPV4 = Pattern.compile("(0|[1-9][0-9]{0,2})(\\.(0|[1-9][0-9]{0,2})){3}");

	private static final int IPV4_MAXIMUM = 255;

	private IpNumbers() {
	}

	static boolean isValid(String ip) {
		if (ip.indexOf(':') >= 0) {
			return isValidIpv6(ip);
		}
		return IPV4.matcher(ip).matches()
				&& Arrays.stream(ip.split("\\.")).mapToInt(Integer::parseInt).allMatch((part) -> part <= IPV4_MAXIMUM);
	}

	/**
	 * Returns whether an address stands for all addresses of a host, which others cannot
	 * connect to.
	 * @param ip a valid address
	 * @return whether it is unspecified
	 */
	static boolean isUnspecified(String ip) {
		return ip.chars().allMatch((character) -> character == '0' || character == '.' || character == ':');
	}

	private static boolean isValidIpv6(String ip) {
		try {
			// A text with a colon is parsed as a literal address and never looked up.
			InetAddress.getByName(ip);
			return true;
		}
		catch (UnknownHostException ex) {
			return false;
		}
	}

}
