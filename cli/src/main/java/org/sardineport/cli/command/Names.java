package org.sardineport.cli.command;

import java.util.ArrayList;
import java.util.List;

import org.sardineport.cli.UsageException;
import org.sardineport.core.identity.ProfileName;

/**
 * Names on the command line.
 */
final class Names {

	private Names() {
	}

	static List<ProfileName> profiles(List<String> texts) throws UsageException {
		List<ProfileName> names = new ArrayList<>();
		for (String text : texts) {
			names.add(profile(text));
		}
		return names;
	}

	static ProfileName profile(String text) throws UsageException {
		try {
			return ProfileName.of(text);
		}
		catch (IllegalArgumentException ex) {
			throw UsageException.of(ex.getMessage(), "Write the name as 'sardineport profile list' shows it.");
		}
	}

}
