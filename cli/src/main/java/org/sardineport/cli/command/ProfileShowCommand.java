package org.sardineport.cli.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.sardineport.cli.Console;
import org.sardineport.cli.ExitCode;
import org.sardineport.cli.UsageException;
import org.sardineport.core.configuration.ConfigurationState;
import org.sardineport.core.configuration.StoredProfile;
import org.sardineport.core.error.SardineportException;

/**
 * Shows the text of a profile in force.
 */
@Command(name = "show", description = "Shows the text of a profile in force, with the version in its first line")
@Examples(examples = "sardineport profile show bagmati > bagmati.yaml",
		descriptions = "Writes the profile to a file, to be edited and given to 'profile replace'.")
public final class ProfileShowCommand extends CliCommand {

	@AirlineModule
	private LogOptions logOptions = new LogOptions();

	@Arguments(title = "NAME", description = "Name of the profile")
	@Required
	private String name = "";

	@Override
	public ExitCode run(Console console) throws SardineportException {
		return this.logOptions.withReplica(console, (replica) -> {
			ConfigurationState state = replica.state();
			StoredProfile stored = state.profile(ProfileNames.parse(this.name))
				.orElseThrow(() -> UsageException.of("no profile %s is in force".formatted(this.name),
						"Run 'sardineport profile list' for those in force."));
			if (isJson()) {
				console.json(new ShowView(this.name, state.version(), stored.changedAt(), stored.text()));
			}
			else {
				console.line(ProfileFiles.withVersion(state.version(), stored.text()).stripTrailing());
			}
			return ExitCode.OK;
		});
	}

	private record ShowView(String name, long version, long changedAt, String text) {
	}

}
