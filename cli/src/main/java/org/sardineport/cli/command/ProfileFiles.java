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
 * Files with profiles. A first line that {@code profile show} writes tells which version
 * the operator saw. Not safe for use by several threads.
 */
final class ProfileFiles {

	private static final String VERSION_PREFIX = "# version ";

	private static final Pattern VERSION_LINE = Pattern.compile("\\A# version (\\d{1,18})\\R");

	private final List<DocumentFault> faults = new ArrayList<>();

	private OptionalLong base = OptionalLong.empty();

	/**
	 * Returns a profile's text with the line that tells its version.
	 * @param version the version in force
	 * @param text the text
	 * @return the text of a file
	 */
	static String withVersion(long version, String text) {
		return VERSION_PREFIX + version + "\n" + text;
	}

	/**
	 * Reads files. Faults are gathered.
	 * @param files their names
	 * @return the profiles of the files without faults
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
	 * Returns the version that the operator saw.
	 * @return the oldest version that a file names, or empty if none does
	 */
	OptionalLong base() {
		return this.base;
	}

	/**
	 * Returns the faults of all files read.
	 * @return the faults
	 */
	List<DocumentFault> faults() {
		return this.faults;
	}

	/**
	 * Fails if a file had faults.
	 * @throws InvalidDocumentException with all faults
	 */
	void throwIfFaulty() throws InvalidDocumentException {
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
		this.base = OptionalLong.of(Math.min(version, this.base.orElse(version)));
		return text.substring(matcher.end());
	}

}
