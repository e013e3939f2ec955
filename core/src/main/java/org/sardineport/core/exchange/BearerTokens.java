package org.sardineport.core.exchange;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/**
 * Checks bearer tokens against stored hashes, with comparisons in constant time.
 */
public final class BearerTokens {

	private static final String SCHEME = "Bearer ";

	private BearerTokens() {
	}

	/**
	 * Returns whether a request presents one of the accepted tokens.
	 * @param hashes accepted tokens, as SHA-256 hashes in lower-case hexadecimal
	 * @param headers the request's header fields
	 * @return {@code true} if the token is accepted; {@code false} if there is not
	 * exactly one Authorization field
	 */
	public static boolean isAccepted(List<String> hashes, HeaderValues headers) {
		Optional<String> token = token(headers);
		if (token.isEmpty()) {
			return false;
		}
		byte[] presented = hash(token.get()).getBytes(StandardCharsets.US_ASCII);
		boolean accepted = false;
		for (String hash : hashes) {
			accepted |= MessageDigest.isEqual(presented, hash.getBytes(StandardCharsets.US_ASCII));
		}
		return accepted;
	}

	/**
	 * Returns the hash that is stored for a token.
	 * @param token the token
	 * @return its SHA-256 hash in lower-case hexadecimal
	 */
	public static String hash(String token) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(digest.digest(token.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available, although every Java platform must support it",
					ex);
		}
	}

	private static Optional<String> token(HeaderValues headers) {
		List<String> values = headers.all("Authorization");
		if (values.size() != 1 || !values.get(0).regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			return Optional.empty();
		}
		return Optional.of(values.get(0).substring(SCHEME.length()).strip());
	}

}
