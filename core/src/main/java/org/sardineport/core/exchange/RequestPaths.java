package org.sardineport.core.exchange;

import java.util.Locale;

/**
 * Validates request paths, so that no request reaches a part of a backend server outside
 * its route.
 */
final class RequestPaths {

	private RequestPaths() {
	}

	static boolean isNormalized(String path) {
		String lower = path.toLowerCase(Locale.ROOT);
		if (!lower.startsWith("/") || lower.contains("//") || lower.contains("\\") || lower.contains(";")) {
			return false;
		}
		if (lower.contains("%2e") || lower.contains("%2f") || lower.contains("%5c") || lower.contains("%25")) {
			return false;
		}
		for (String segment : lower.split("/")) {
			if (segment.equals(".") || segment.equals("..")) {
				return false;
			}
		}
		return isPrintable(path);
	}

	static boolean isPrintable(String text) {
		return text.chars().allMatch((character) -> character > ' ' && character < 127);
	}

	static String path(String pathAndQuery) {
		int query = pathAndQuery.indexOf('?');
		return (query < 0) ? pathAndQuery : pathAndQuery.substring(0, query);
	}

}
