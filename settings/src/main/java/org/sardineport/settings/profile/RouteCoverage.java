package org.sardineport.settings.profile;

import org.sardineport.core.profile.Route;

/**
 * Determines whether one route matches every request that another route matches.
 */
final class RouteCoverage {

	private RouteCoverage() {
	}

	static boolean covers(Route wide, Route narrow) {
		boolean method = wide.method().equals(Route.ANY_METHOD) || wide.method().equals(narrow.method());
		return method && coversPath(wide.path(), narrow.path());
	}

	private static boolean coversPath(String wide, String narrow) {
		if (!wide.endsWith(Route.PREFIX_SUFFIX)) {
			return wide.equals(narrow);
		}
		String prefix = wide.substring(0, wide.length() - 1);
		return narrow.startsWith(prefix) || narrow.equals(prefix.substring(0, prefix.length() - 1));
	}

}
