package org.sardineport.core.exchange;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Names of header fields, and which of them are passed on.
 */
public final class HeaderNames {

	/** Names the profile. */
	public static final String PROFILE = "Sardineport-Profile";

	/** Names the organisation. */
	public static final String ORGANISATION = "Sardineport-Organisation";

	/** Key of a keyed request. */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/** When a key that is no UUID version 7 was made, in ISO 8601 form. */
	public static final String ISSUED_AT = "Sardineport-Issued-At";

	/** What is known of the request's run. */
	public static final String OUTCOME = "Sardineport-Outcome";

	/** Identity of the request, given by the daemon. */
	public static final String REQUEST_ID = "Sardineport-Request-Id";

	/** Identity of the stream of events on an engine. */
	public static final String STREAM_ID = "X-Request-Id";

	private static final String OWN_PREFIX = "sardineport-";

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade");

	private static final Set<String> NOT_FROM_CALLERS = Set.of("host", "content-length", "expect", "x-request-id",
			"prefer");

	private HeaderNames() {
	}

	/**
	 * Returns the fields of a request to pass on to a backend server.
	 * @param fields the caller's fields in order
	 * @param passAuthorization whether the caller's token is the backend server's matter
	 * @return the fields without those of one hop and without this system's own
	 */
	public static List<Map.Entry<String, String>> forBackend(List<Map.Entry<String, String>> fields,
			boolean passAuthorization) {
		return endToEnd(fields).filter((field) -> isForBackend(lowerCase(field.getKey()), passAuthorization)).toList();
	}

	/**
	 * Returns the fields of an answer to pass on to a caller.
	 * @param fields the backend server's fields in order
	 * @return the fields without those of one hop and without this system's own
	 */
	public static List<Map.Entry<String, String>> forCaller(List<Map.Entry<String, String>> fields) {
		return endToEnd(fields).filter((field) -> !lowerCase(field.getKey()).startsWith(OWN_PREFIX)).toList();
	}

	private static boolean isForBackend(String name, boolean passAuthorization) {
		return !name.startsWith(OWN_PREFIX) && !NOT_FROM_CALLERS.contains(name)
				&& (passAuthorization || !name.equals("authorization"));
	}

	private static Stream<Map.Entry<String, String>> endToEnd(List<Map.Entry<String, String>> fields) {
		Set<String> named = fields.stream()
			.filter((field) -> lowerCase(field.getKey()).equals("connection"))
			.flatMap((field) -> Stream.of(field.getValue().split(",")))
			.map((name) -> lowerCase(name.strip()))
			.collect(Collectors.toSet());
		return fields.stream().filter((field) -> {
			String name = lowerCase(field.getKey());
			return !HOP_BY_HOP.contains(name) && !named.contains(name);
		});
	}

	private static String lowerCase(String name) {
		return name.toLowerCase(Locale.ROOT);
	}

}
