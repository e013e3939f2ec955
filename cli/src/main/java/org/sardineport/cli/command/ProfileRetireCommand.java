package org.sardineport.cli.command;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.sardineport.cli.UsageException;
import org.sardineport.core.publishing.PublicationDraft;

/**
 * Retires profiles.
 */
@Command(name = "retire", description = "Takes profiles out of force, all or none")
@Examples(examples = "sardineport profile retire --accept-warnings old",
		descriptions = "Retires a profile; services that still pick it are then refused.")
public final class ProfileRetireCommand extends PublishingCommand {

	@Arguments(title = "NAME", description = "Names of the profiles")
	private List<String> names = new ArrayList<>();

	@Override
	PublicationDraft draft(ProfileFiles read) throws UsageException {
		return new PublicationDraft(List.of(), List.of(), ProfileNames.parseAll(this.names), OptionalLong.empty());
	}

}
