package org.sardineport.cli.command;

import java.io.IOException;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.sardineport.cli.Console;
import org.sardineport.cli.ExitCode;
import org.sardineport.cli.operator.FleetStatus;
import org.sardineport.cli.operator.FleetStatus.BackendServerStatus;
import org.sardineport.cli.operator.FleetStatus.MemberStatus;
import org.sardineport.core.error.SardineportException;

/**
 * Shows the status of the fleet as known to one daemon.
 */
@Command(name = "status", description = "Shows daemons, versions in force, backend servers and their owners")
@Examples(examples = "sardineport status --operator 10.1.0.11:8081",
		descriptions = "Shows the fleet as the daemon at this address knows it.")
public final class StatusCommand extends CliCommand {

	@AirlineModule
	private OperatorOptions operatorOptions = new OperatorOptions();

	@Override
	public ExitCode run(Console console) throws SardineportException, IOException {
		FleetStatus status = this.operatorOptions.requiredClient(console).status();
		if (isJson()) {
			console.json(status);
		}
		else {
			write(console, status);
		}
		return ExitCode.OK;
	}

	private static void write(Console console, FleetStatus status) {
		console.line("daemon %s incarnation=%d version=%d ready=%s%s".formatted(status.daemon(), status.incarnation(),
				status.configurationVersion(), status.ready(),
				status.reasons().isEmpty() ? "" : " because " + String.join("; ", status.reasons())));
		for (MemberStatus member : status.members()) {
			console.line("member %-24s %-8s failure-domain=%s callers=%s version=%d load=%d%%".formatted(
					member.daemon(), member.status(), member.failureDomain(), member.callerAddress(),
					member.configurationVersion(), member.load()));
		}
		for (BackendServerStatus server : status.backendServers()) {
			console.line("backend-server %-24s pool=%s failure-domain=%s address=%s owner=%s".formatted(server.id(),
					server.pool(), server.failureDomain(), server.address(),
					(server.owner() != null) ? server.owner() : "none"));
		}
	}

}
