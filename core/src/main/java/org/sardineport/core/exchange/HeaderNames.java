package org.sardineport.core.exchange;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Names of header fields, and the rules for which fields are forwarded.
 */
public final class HeaderNames {

	/** Name of the profile that applies to a request. */
	public static final String PROFILE = "Sardineport-Profile";

	/** Name of the organisation that sends a request. */
	public static final String ORGANISATION = "Sardineport-Organisation";

	/** Idempotency key of a keyed request. */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * Time at which a key was issued, in ISO 8601 form; for keys that are not UUIDs of
	 * version 7.
	 */
	public static final String ISSUED_AT = "Sardineport-Issued-At";

	/** What is known about the execution of the request; see {@code Outcome}. */
	public static final String OUTCOME = "Sardineport-Outcome";

	/** Identity of the request, assigned by the daemon. */
	public static final String REQUEST_ID = "Sardineport-Request-Id";

	/** Identity of the event stream on an engine. */
	public static final String STREAM_ID = "X-Request-Id";

	private static final String OWN_PREFIX = "sardineport-";

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade");

	private static final Set<String> NOT_FORWARDED = Set.of("host", "content-length", "expect", "x-request-id",
			"prefer");

	private HeaderNames() {
	}

	/**
	 * Returns the fields of a request that are forwarded to a backend server.
	 * @param fields the caller's fields in order
	 * @param passAuthorization whether to forward the Authorization field, because the
	 * backend server checks the caller's token itself
	 * @return the fields in order, without hop-by-hop fields, fields of this system and
	 * fields that callers must not set
	 */
	public static List<Map.Entry<String, String>> forBackend(List<Map.Entry<String, String>> fields,
			boolean passAuthorization) {
		return endToEnd(fields).filter((field) -> isForBackend(lowerCase(field.getKey()), passAuthorization)).toList();
	}

	/**
	 * Returns the fields of a response that are forwarded to a caller.
	 * @param fields the backend server's fields in order
	 * @return the fields in order, without hop-by-hop fields and fields of this system
	 */
	public static List<Map.Entry<String, String>> forCaller(List<Map.Entry<String, String>> fields) {
		return endToEnd(fields).filter((field) -> !lowerCase(field.getKey()).startsWith(OWN_PREFIX)).toList();
	}

	private static boolean isForBackend(String name, boolean passAuthorization) {
		return !name.startsWith(OWN_PREFIX) && !NOT_FORWARDED.contains(name)
				&& (passAuthorization || !name.equals("authorization"));
	}

	private static Stream<Map.Entry<String, String>> endToEnd(List<Map.Entry<String, String>> fields) {
		Set<String> listedInConnection = fields.stream()
			.filter((field) -> lowerCase(field.getKey()).equals("connection"))
			.flatMap((field) -> Stream.of(field.getValue().split(",")))
			.map((name) -> lowerCase(name.strip()))
			.collect(Collectors.toSet());
		return fields.stream().filter((field) -> {
			String name = lowerCase(field.getKey());
			return !HOP_BY_HOP.contains(name) && !listedInConnection.contains(name);
		});
	}

	private static String lowerCase(String name) {
		return name.toLowerCase(Locale.ROOT);
	}

}
