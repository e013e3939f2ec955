package org.sardineport.cli.command;

import java.util.List;
import java.util.Map;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.sardineport.cli.Console;
import org.sardineport.cli.ExitCode;
import org.sardineport.core.configuration.ConfigurationState;
import org.sardineport.core.configuration.StoredProfile;
import org.sardineport.core.error.SardineportException;
import org.sardineport.core.identity.ProfileName;

/**
 * Lists the profiles in force.
 */
@Command(name = "list", description = "Lists the profiles in force according to the log")
@Examples(examples = "sardineport profile list --output json", descriptions = "Lists the profiles for a script.")
public final class ProfileListCommand extends CliCommand {

	@AirlineModule
	private LogOptions logOptions = new LogOptions();

	@Override
	public ExitCode run(Console console) throws SardineportException {
		return this.logOptions.withReplica(console, (replica) -> {
			write(console, ListView.of(replica.state()));
			return ExitCode.OK;
		});
	}

	private void write(Console console, ListView view) {
		if (isJson()) {
			console.json(view);
			return;
		}
		console.line("version " + view.version());
		view.profiles()
			.forEach((profile) -> console.line("%-32s changed-at=%d routes=%d organisations=%d"
				.formatted(profile.name(), profile.changedAt(), profile.routes(), profile.organisations())));
	}

	private record ListView(long version, List<ProfileView> profiles) {

		private static ListView of(ConfigurationState state) {
			return new ListView(state.version(), state.profiles().entrySet().stream().map(ProfileView::of).toList());
		}

	}

	private record ProfileView(String name, long changedAt, int routes, int organisations) {

		private static ProfileView of(Map.Entry<ProfileName, StoredProfile> entry) {
			StoredProfile stored = entry.getValue();
			return new ProfileView(entry.getKey().value(), stored.changedAt(), stored.profile().routes().size(),
					stored.profile().organisations().size());
		}

	}

}
