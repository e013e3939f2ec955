package org.sardineport.cli.command;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.sardineport.core.publishing.PublicationDraft;

/**
 * Replaces profiles in force.
 */
@Command(name = "replace", description = "Replaces profiles in force, all or none")
@Examples(examples = { "sardineport profile show bagmati > bagmati.yaml", "sardineport profile replace bagmati.yaml" },
		descriptions = { "Writes the profile in force to a file, with its version in the first line.",
				"Replaces it after you edited the file; refused if others changed the profile meanwhile." })
public final class ProfileReplaceCommand extends PublishingCommand {

	@Arguments(title = "FILE", description = "Files with the profiles")
	private List<String> files = new ArrayList<>();

	@Override
	PublicationDraft draft(ProfileFiles read) throws IOException {
		return new PublicationDraft(List.of(), read.read(this.files), List.of(), OptionalLong.empty());
	}

}
