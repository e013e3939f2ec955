package org.sardineport.cli.command;

import java.util.ArrayList;
import java.util.List;

import org.sardineport.cli.UsageException;
import org.sardineport.core.identity.ProfileName;

/**
 * Parses profile names on the command line.
 */
final class ProfileNames {

	private ProfileNames() {
	}

	static List<ProfileName> parseAll(List<String> texts) throws UsageException {
		List<ProfileName> names = new ArrayList<>();
		for (String text : texts) {
			names.add(parse(text));
		}
		return names;
	}

	static ProfileName parse(String text) throws UsageException {
		try {
			return ProfileName.of(text);
		}
		catch (IllegalArgumentException ex) {
			throw UsageException.of(ex.getMessage(), "Write the name as 'sardineport profile list' shows it.");
		}
	}

}
