package org.sardineport.cli.command;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.sardineport.cli.Console;
import org.sardineport.cli.ExitCode;
import org.sardineport.core.configuration.ConfigurationState;
import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.error.SardineportException;
import org.sardineport.core.publishing.PublicationDraft;
import org.sardineport.core.publishing.PublicationPlan;
import org.sardineport.settings.profile.ProfileReader;

/**
 * Shows the differences between profile files and the profiles in force.
 */
@Command(name = "diff", description = "Shows how files differ from the profiles in force; exits with 9 if they do")
@Examples(examples = "sardineport profile diff bagmati.yaml", descriptions = "Shows what publishing would change.")
public final class ProfileDiffCommand extends CliCommand {

	@AirlineModule
	private LogOptions logOptions = new LogOptions();

	@Arguments(title = "FILE", description = "Files with profiles")
	@Required
	private List<String> files = new ArrayList<>();

	@Override
	public ExitCode run(Console console) throws SardineportException, IOException {
		ProfileFiles read = new ProfileFiles();
		List<ProfileDocument> documents = read.read(this.files);
		read.throwIfInvalid();
		return this.logOptions.withReplica(console, (replica) -> compare(console, documents, replica.state()));
	}

	private ExitCode compare(Console console, List<ProfileDocument> documents, ConfigurationState state) {
		Map<Boolean, List<ProfileDocument>> byPresence = documents.stream()
			.collect(Collectors.partitioningBy((document) -> state.profile(document.name()).isPresent()));
		PublicationDraft draft = new PublicationDraft(byPresence.get(false), byPresence.get(true), List.of(),
				OptionalLong.empty());
		PublicationPlan plan = PublicationPlan.of(state, draft, Set.of(), ProfileReader.create());
		PlanView view = PlanView.of(plan);
		if (isJson()) {
			console.json(view);
		}
		else {
			view.write(console);
		}
		if (!plan.faults().isEmpty()) {
			return ExitCode.INVALID;
		}
		return plan.isEmpty() ? ExitCode.OK : ExitCode.DIFFERENT;
	}

}
