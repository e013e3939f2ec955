package org.sardineport.cli.command;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.ranges.IntegerRange;
import com.github.rvesse.airline.annotations.restrictions.ranges.LongRange;
import org.sardineport.cli.Console;
import org.sardineport.cli.ExitCode;
import org.sardineport.cli.configuration.Publisher;
import org.sardineport.cli.configuration.StreamReplica;
import org.sardineport.cli.operator.DaemonClient;
import org.sardineport.cli.operator.DaemonUnreachableException;
import org.sardineport.cli.operator.FleetStatus;
import org.sardineport.core.configuration.ConfigurationSnapshot;
import org.sardineport.core.configuration.Publication;
import org.sardineport.core.configuration.Verdict;
import org.sardineport.core.error.SardineportException;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.port.log.LogServiceException;
import org.sardineport.core.publishing.PublicationDraft;
import org.sardineport.core.publishing.PublicationOutcome;
import org.sardineport.core.publishing.PublicationPlan;
import org.sardineport.core.publishing.PublicationTracker;
import org.sardineport.settings.profile.ProfileReader;

/**
 * Base class of the commands that change profiles. Shows the differences, publishes, and
 * waits until all live daemons report the new version.
 */
public abstract class PublishingCommand extends CliCommand {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

	private static final long NO_BASE = -2;

	@AirlineModule
	private LogOptions logOptions = new LogOptions();

	@AirlineModule
	private OperatorOptions operatorOptions = new OperatorOptions();

	@Option(name = "--accept-warnings", description = "Publish although there are warnings")
	private boolean acceptWarnings;

	@Option(name = "--dry-run", description = "Show the difference and publish nothing")
	private boolean dryRun;

	@Option(name = "--base", title = "VERSION",
			description = "Version that you saw; refused if others changed the profiles since; default: the first "
					+ "line of the file as 'profile show' writes it, else the version in force now")
	@LongRange(min = NO_BASE)
	private long baseVersion = NO_BASE;

	@Option(name = "--as", title = "NAME",
			description = "Your name for the log lines; default: environment variable USER")
	private String operatorName = "";

	@Option(name = "--wait", title = "SECONDS",
			description = "Time to wait until all live daemons report the version; default: 30")
	@IntegerRange(min = 0, max = 3600)
	private int waitSeconds = 30;

	private final InstantSource clock = InstantSource.system();

	/**
	 * Returns the changes to publish.
	 * @param files reader of profile files, which collects their faults
	 * @return the draft; the caller sets its base version
	 * @throws SardineportException if a profile name is malformed
	 * @throws IOException if a file cannot be read
	 */
	abstract PublicationDraft draft(ProfileFiles files) throws SardineportException, IOException;

	@Override
	public final ExitCode run(Console console) throws SardineportException, IOException {
		ProfileFiles files = new ProfileFiles();
		PublicationDraft read = draft(files);
		files.throwIfInvalid();
		OptionalLong base = (this.baseVersion != NO_BASE) ? OptionalLong.of(this.baseVersion) : files.baseVersion();
		PublicationDraft draft = new PublicationDraft(read.published(), read.replaced(), read.retired(), base);
		Optional<DaemonClient> daemon = this.operatorOptions.client(console);
		return this.logOptions.withReplica(console, (replica) -> publish(console, draft, replica, daemon));
	}

	private ExitCode publish(Console console, PublicationDraft draft, StreamReplica replica,
			Optional<DaemonClient> daemon) throws SardineportException {
		Optional<FleetStatus> status = status(daemon, console);
		replica.readToEnd();
		checkLogIsComplete(replica, status);
		PublicationPlan plan = PublicationPlan.of(replica.state(), draft, pools(status), ProfileReader.create());
		PlanView view = PlanView.of(plan);
		if (!isJson()) {
			view.write(console);
		}
		Optional<ExitCode> refused = checkPlan(plan);
		if (refused.isPresent()) {
			return write(console, PublishingView.notPublished(view, refused.get()), refused.get());
		}
		String operator = this.operatorName.isEmpty() ? console.environment("USER").orElse("unknown")
				: this.operatorName;
		Publication publication = plan.publication(draft, UUID.randomUUID().toString(), operator);
		PublicationTracker tracker = Publisher.create(replica, this.logOptions.timeout(), this.clock)
			.publish(publication);
		if (tracker.outcome() != PublicationOutcome.ACCEPTED) {
			ExitCode code = exitCode(tracker.outcome());
			return write(console, PublishingView.ofOutcome(view, publication, tracker, List.of(), false), code);
		}
		return awaitDaemons(console, daemon, view, publication, tracker);
	}

	private Optional<ExitCode> checkPlan(PublicationPlan plan) {
		if (!plan.faults().isEmpty()) {
			return Optional.of(ExitCode.INVALID);
		}
		if (plan.isEmpty() || this.dryRun) {
			return Optional.of(ExitCode.OK);
		}
		boolean warned = !plan.warnings().isEmpty() && !this.acceptWarnings;
		return warned ? Optional.of(ExitCode.WARNINGS) : Optional.empty();
	}

	private ExitCode awaitDaemons(Console console, Optional<DaemonClient> daemon, PlanView view,
			Publication publication, PublicationTracker tracker) {
		long version = tracker.verdict().map(Verdict::offset).orElseThrow();
		if (daemon.isEmpty()) {
			console.note("Not checked which daemons report the version: no operators' port is named.");
			return write(console, PublishingView.ofOutcome(view, publication, tracker, List.of(), false), ExitCode.OK);
		}
		Instant end = this.clock.instant().plusSeconds(this.waitSeconds);
		List<String> behind = daemonsBehind(daemon.get(), version);
		while (!behind.isEmpty() && this.clock.instant().isBefore(end)) {
			LockSupport.parkNanos(POLL_INTERVAL.toNanos());
			behind = daemonsBehind(daemon.get(), version);
		}
		ExitCode code = behind.isEmpty() ? ExitCode.OK : ExitCode.NOT_EVERYWHERE;
		return write(console, PublishingView.ofOutcome(view, publication, tracker, behind, true), code);
	}

	private static List<String> daemonsBehind(DaemonClient daemon, long version) {
		try {
			FleetStatus status = daemon.status();
			if (status.configurationVersion() < version) {
				return List.of(status.daemon());
			}
			return status.daemonsBehind(version);
		}
		catch (DaemonUnreachableException ex) {
			return List.of("(" + ex.getMessage() + ")");
		}
	}

	private static Optional<FleetStatus> status(Optional<DaemonClient> daemon, Console console) {
		if (daemon.isEmpty()) {
			return Optional.empty();
		}
		try {
			return Optional.of(daemon.get().status());
		}
		catch (DaemonUnreachableException ex) {
			console.note("Not checked whether the pools have backend servers: " + ex.getMessage());
			return Optional.empty();
		}
	}

	private static void checkLogIsComplete(StreamReplica replica, Optional<FleetStatus> status)
			throws LogServiceException {
		long inForce = status.map(FleetStatus::configurationVersion).orElse(ConfigurationSnapshot.NO_VERSION);
		if (inForce > replica.state().version()) {
			throw LogServiceException.of(LogFailure.UNAVAILABLE,
					"the daemons hold version %d, the log only version %d: it lost records or lags".formatted(inForce,
							replica.state().version()));
		}
	}

	private static Set<PoolName> pools(Optional<FleetStatus> status) {
		Set<PoolName> pools = new HashSet<>();
		status.ifPresent((known) -> known.backendServers().forEach((server) -> pools.add(PoolName.of(server.pool()))));
		return pools;
	}

	private ExitCode write(Console console, PublishingView view, ExitCode code) {
		if (isJson()) {
			console.json(view);
		}
		else {
			console.line(view.sentence());
		}
		return code;
	}

	private static ExitCode exitCode(PublicationOutcome outcome) {
		return switch (outcome) {
			case ACCEPTED -> ExitCode.OK;
			case CONFLICT -> ExitCode.CONFLICT;
			case INVALID -> ExitCode.INVALID;
			case NOT_PUBLISHED -> ExitCode.UNAVAILABLE;
			case UNKNOWN -> ExitCode.UNKNOWN;
		};
	}

}
