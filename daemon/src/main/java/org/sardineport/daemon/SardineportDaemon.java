package org.sardineport.daemon;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.exchange.RetryBudget;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.core.scheduling.OwnerLookup;
import org.sardineport.daemon.configuration.ConfigurationDuty;
import org.sardineport.daemon.engine.HttpModelEngine;
import org.sardineport.daemon.exchange.RequestRunner;
import org.sardineport.daemon.exchange.RunServices;
import org.sardineport.daemon.fleet.FleetDuty;
import org.sardineport.daemon.fleet.TransportCounters;
import org.sardineport.daemon.http.CallerServer;
import org.sardineport.daemon.http.CallerServices;
import org.sardineport.daemon.http.OperatorServer;
import org.sardineport.daemon.http.OperatorServices;
import org.sardineport.daemon.http.Readiness;
import org.sardineport.daemon.journal.JournalDuty;
import org.sardineport.daemon.platform.HttpLogService;
import org.sardineport.daemon.platform.HttpVmList;
import org.sardineport.daemon.scheduling.SchedulingDuty;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.settings.DaemonSettings;
import org.sardineport.settings.profile.ProfileReader;
import org.sardineport.wire.configuration.ConfigurationPeerCodec;
import org.sardineport.wire.scheduling.SchedulingCodec;
import org.sardineport.wire.transport.MembershipCodec;
import org.sardineport.wire.transport.NettyPeerTransport;
import org.sardineport.wire.transport.PeerIdentity;

/**
 * One daemon: all its parts, started and stopped together. Several can run in one
 * process.
 */
public final class SardineportDaemon implements Service {

	private static final EventLog LOG = EventLog.of(SardineportDaemon.class);

	private final DaemonSettings settings;

	private final Vertx vertx;

	private final RequestRunner runner;

	private final CallerServer callers;

	/** In the order in which they are started. */
	private final List<Service> services;

	private @Nullable CompletionStage<Void> stopped;

	private SardineportDaemon(DaemonSettings settings, InstantSource clock) {
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2).setWorkerPoolSize(1));
		long incarnation = clock.instant().toEpochMilli();
		Telemetry telemetry = Telemetry.create();
		PeerTransport transport = transport(settings, incarnation, clock, telemetry);
		HttpVmList vmList = HttpVmList.create(this.vertx, settings.platform().vmList(), settings.platform().timeout());
		OwnReport self = new OwnReport(settings.callers().maximumInFlight());
		FleetDuty fleet = FleetDuty.create(settings, incarnation, transport, vmList, self, clock, telemetry);
		HttpLogService log = HttpLogService.create(this.vertx, settings.platform().logService(),
				settings.platform().timeout());
		ConfigurationDuty configuration = ConfigurationDuty.create(settings.configuration(), ProfileReader.create(),
				log, fleet, transport, clock, telemetry);
		JournalDuty journal = JournalDuty.create(settings.fleet(), settings.daemon(), incarnation, settings.journal(),
				log, fleet, clock, telemetry);
		HttpModelEngine engines = HttpModelEngine.create(this.vertx, clock);
		SchedulingDuty scheduling = SchedulingDuty.create(settings.scheduling(), fleet, OwnerLookup.rendezvous(),
				transport, engines, clock, new SplittableRandom(incarnation), telemetry);
		this.runner = RequestRunner.create(RunServices.create(scheduling, journal, engines, clock, telemetry,
				RetryBudget.create(), settings.journal().maximumAnswerBytes()));
		this.callers = CallerServer.create(this.vertx, settings.callerAddress(),
				new CallerServices(settings.callers(), configuration, fleet, journal, this.runner, clock, telemetry));
		Readiness readiness = () -> missing(configuration.isReady(), journal.isReady());
		OperatorServer operators = OperatorServer.create(this.vertx, settings.operatorAddress(),
				settings.operatorToken(),
				new OperatorServices(configuration, fleet, readiness, this.callers::inFlight, telemetry));
		self.connect(configuration, this.callers);
		this.services = List.of(transport, log, vmList, engines, fleet, configuration, journal, scheduling,
				this.callers, operators);
	}

	/**
	 * Returns a daemon that is not started yet.
	 * @param settings its settings
	 * @param clock the time
	 * @return the daemon
	 */
	public static SardineportDaemon create(DaemonSettings settings, InstantSource clock) {
		return new SardineportDaemon(settings, clock);
	}

	@Override
	public CompletionStage<Void> start() {
		CompletionStage<Void> started = CompletableFuture.completedStage(null);
		for (Service service : this.services) {
			started = started.thenCompose((ignored) -> service.start());
		}
		return started.thenRun(() -> LOG.info("daemon.started", "daemon", this.settings.daemon(), "failure-domain",
				this.settings.failureDomain(), "callers", this.settings.callerAddress()));
	}

	/**
	 * Stops after the work in flight, in a planned way.
	 * @return completes when nothing is left running
	 */
	@Override
	public synchronized CompletionStage<Void> stop() {
		if (this.stopped == null) {
			this.stopped = stopOnce();
		}
		return this.stopped;
	}

	private CompletionStage<Void> stopOnce() {
		this.callers.refuseNewRequests();
		List<Service> reversed = new ArrayList<>(this.services);
		Collections.reverse(reversed);
		CompletionStage<Void> stopping = this.callers.whenDrained().thenCompose((ignored) -> this.runner.whenDrained());
		for (Service service : reversed) {
			stopping = stopping.thenCompose((ignored) -> service.stop());
		}
		return stopping.thenCompose((ignored) -> this.vertx.close().toCompletionStage())
			.thenRun(() -> LOG.info("daemon.stopped", "daemon", this.settings.daemon()));
	}

	private static List<String> missing(boolean configurationReady, boolean journalReady) {
		List<String> missing = new ArrayList<>();
		if (!configurationReady) {
			missing.add("The configuration is being read.");
		}
		if (!journalReady) {
			missing.add("The journal is being read.");
		}
		return missing;
	}

	private static PeerTransport transport(DaemonSettings settings, long incarnation, InstantSource clock,
			Telemetry telemetry) {
		PeerIdentity identity = new PeerIdentity(settings.fleet(), settings.daemon(), incarnation,
				settings.peerAddress(), settings.peerKeys());
		return NettyPeerTransport.create(identity,
				List.of(MembershipCodec.create(), SchedulingCodec.create(), ConfigurationPeerCodec.create()), clock,
				TransportCounters.create(telemetry));
	}

}
