package org.sardineport.cli.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.error.DocumentFault;
import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.settings.profile.ProfileReader;

/**
 * Reads profile files and collects their faults. The first line written by
 * {@code profile show} gives the configuration version that the file is based on. Not
 * thread-safe.
 */
final class ProfileFiles {

	private static final String VERSION_PREFIX = "# version ";

	private static final Pattern VERSION_LINE = Pattern.compile("\\A# version (\\d{1,18})\\R");

	private final List<DocumentFault> faults = new ArrayList<>();

	private OptionalLong baseVersion = OptionalLong.empty();

	/**
	 * Returns a profile's text preceded by a line with the version.
	 * @param version the configuration version in force
	 * @param text the text of the profile
	 * @return the text of a profile file
	 */
	static String withVersion(long version, String text) {
		return VERSION_PREFIX + version + "\n" + text;
	}

	/**
	 * Reads files and records their faults.
	 * @param files paths of the files
	 * @return the profiles of the valid files
	 * @throws IOException if a file cannot be read
	 */
	List<ProfileDocument> read(List<String> files) throws IOException {
		List<ProfileDocument> documents = new ArrayList<>();
		for (String file : files) {
			String text = withoutVersion(Files.readString(Path.of(file)));
			try {
				ProfileName name = ProfileReader.create().parse(text).name();
				documents.add(new ProfileDocument(name, text));
			}
			catch (InvalidDocumentException ex) {
				ex.faults()
					.forEach((fault) -> this.faults.add(new DocumentFault(file + ": " + fault.path(), fault.line(),
							fault.found(), fault.remedy())));
			}
		}
		return documents;
	}

	/**
	 * Returns the version that the files read so far are based on.
	 * @return the oldest version in the files, or empty if no file contains one
	 */
	OptionalLong baseVersion() {
		return this.baseVersion;
	}

	/**
	 * Returns the faults of all files read so far.
	 * @return the faults; their paths begin with the path of the file
	 */
	List<DocumentFault> faults() {
		return this.faults;
	}

	/**
	 * Throws an exception if a file has faults.
	 * @throws InvalidDocumentException if there are faults; contains all of them
	 */
	void throwIfInvalid() throws InvalidDocumentException {
		if (!this.faults.isEmpty()) {
			throw InvalidDocumentException.of("profile", this.faults);
		}
	}

	private String withoutVersion(String text) {
		Matcher matcher = VERSION_LINE.matcher(text);
		if (!matcher.find()) {
			return text;
		}
		long version = Long.parseLong(matcher.group(1));
		this.baseVersion = OptionalLong.of(Math.min(version, this.baseVersion.orElse(version)));
		return text.substring(matcher.end());
	}

}
