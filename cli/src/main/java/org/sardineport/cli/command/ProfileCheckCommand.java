package org.sardineport.cli.command;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.sardineport.cli.Console;
import org.sardineport.cli.ExitCode;
import org.sardineport.cli.command.PlanView.FaultView;

/**
 * Validates profile files without access to any service.
 */
@Command(name = "check", description = "Checks files with profiles and lists every fault; needs no service")
@Examples(examples = "sardineport profile check *.yaml", descriptions = "Checks all profiles of a directory.")
public final class ProfileCheckCommand extends CliCommand {

	@Arguments(title = "FILE", description = "Files with profiles")
	@Required
	private List<String> files = new ArrayList<>();

	@Override
	public ExitCode run(Console console) throws IOException {
		ProfileFiles read = new ProfileFiles();
		read.read(this.files);
		List<FaultView> faults = read.faults().stream().map(FaultView::of).toList();
		if (isJson()) {
			console.json(new CheckView(faults.isEmpty(), faults));
		}
		else if (faults.isEmpty()) {
			console.line("%d file(s) checked, no fault".formatted(this.files.size()));
		}
		else {
			faults.forEach((fault) -> console.line("fault: " + fault.text()));
		}
		return faults.isEmpty() ? ExitCode.OK : ExitCode.INVALID;
	}

	private record CheckView(boolean valid, List<FaultView> faults) {
	}

}
