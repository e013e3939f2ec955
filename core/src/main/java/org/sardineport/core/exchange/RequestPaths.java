package org.sardineport.core.exchange;

import java.util.Locale;

/**
 * Checks paths, so that none reaches a part of a backend server that its route does not
 * name.
 */
final class RequestPaths {

	private RequestPaths() {
	}

	static boolean isPlain(String path) {
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
