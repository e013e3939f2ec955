package org.sardineport.cli.command;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import org.sardineport.cli.UsageException;
import org.sardineport.core.publishing.PublicationDraft;

/**
 * Publishes new profiles, and optionally replaces and retires others, in one publication.
 */
@Command(name = "publish", description = "Publishes new profiles, all or none")
@Examples(
		examples = { "sardineport profile publish --log 10.1.0.2:7070 --operator 10.1.0.11:8081 bagmati.yaml",
				"sardineport profile publish new.yaml --replace other.yaml --retire old" },
		descriptions = { "Publishes a profile and waits until all live daemons report it.",
				"Publishes one profile, replaces another and retires a third, in one step." })
public final class ProfilePublishCommand extends PublishingCommand {

	@Arguments(title = "FILE", description = "Files with the profiles to publish")
	private List<String> files = new ArrayList<>();

	@Option(name = "--replace", title = "FILE",
			description = "File with a profile in force to replace; may be repeated")
	private List<String> replaced = new ArrayList<>();

	@Option(name = "--retire", title = "NAME", description = "Name of a profile to retire; may be repeated")
	private List<String> retired = new ArrayList<>();

	@Override
	PublicationDraft draft(ProfileFiles read) throws UsageException, IOException {
		return new PublicationDraft(read.read(this.files), read.read(this.replaced),
				ProfileNames.parseAll(this.retired), OptionalLong.empty());
	}

}
