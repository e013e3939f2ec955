package org.sardineport.cli.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;

import io.vertx.core.Vertx;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.port.platform.VmState;
import org.sardineport.daemon.SardineportDaemon;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.settings.CallerSettings;
import org.sardineport.settings.ConfigurationSettings;
import org.sardineport.settings.DaemonSettings;
import org.sardineport.settings.JournalSettings;
import org.sardineport.settings.MembershipSettings;
import org.sardineport.settings.PlatformSettings;
import org.sardineport.settings.SchedulingSettings;
import org.sardineport.settings.StopSettings;
import org.sardineport.standins.engine.EngineOptions;
import org.sardineport.standins.engine.ModelEngineStandIn;
import org.sardineport.standins.http.FreeAddress;
import org.sardineport.standins.log.InMemoryLogService;
import org.sardineport.standins.log.LogServiceStandIn;
import org.sardineport.standins.service.LedgerStandIn;
import org.sardineport.standins.vm.VmListStandIn;

/**
 * Eight daemons in three failure domains with stand-ins for the platform, two model
 * engines of different speed, and a ledger.
 */
final class DemoFleet {

	static final int DAEMONS = 8;

	static final String OPERATOR_TOKEN = "token-of-the-demonstration";

	private static final List<String> FAILURE_DOMAINS = List.of("bole", "kaliti", "piassa");

	private static final String PEER_KEY = "key-of-the-demonstration-and-of-nothing-else";

	private static final Duration REPORT_LAG = Duration.ofMillis(500);

	private static final Duration KEEP_TIME = Duration.ofSeconds(2);

	private final Vertx vertx;

	private final SteadyInstantSource clock = SteadyInstantSource.create();

	private final LogServiceStandIn log;

	private final VmListStandIn vmList;

	private final List<ModelEngineStandIn> engines;

	private final LedgerStandIn ledger;

	private final List<DaemonSettings> settings = new ArrayList<>();

	private final List<SardineportDaemon> daemons = new ArrayList<>();

	DemoFleet(Vertx vertx) {
		this.vertx = vertx;
		this.log = LogServiceStandIn.create(vertx, InMemoryLogService.create());
		this.vmList = VmListStandIn.create(vertx, this.clock);
		EngineOptions options = EngineOptions.fast().withLag(REPORT_LAG);
		this.engines = List.of(ModelEngineStandIn.create(vertx, this.clock, options.withConcurrency(16)
			.withSpeed(20_000, Duration.ofMillis(6))), ModelEngineStandIn.create(vertx, this.clock,
					options.withConcurrency(6).withSpeed(5_000, Duration.ofMillis(14)).withAbilities(false, false)));
		this.ledger = LedgerStandIn.create(vertx, Duration.ofMillis(5));
	}

	void start() {
		join(this.log.start());
		join(this.vmList.start());
		join(this.ledger.start());
		addBackendServer("ledger", BackendKind.PLAIN_SERVICE, "ledger", this.ledger.address(), 0, 32);
		for (int i = 0; i < this.engines.size(); i++) {
			join(this.engines.get(i).start());
			addBackendServer("engine-" + i, BackendKind.MODEL_ENGINE, "dictionary", this.engines.get(i).address(), i,
					(i == 0) ? 16 : 6);
		}
		for (int i = 0; i < DAEMONS; i++) {
			addSettings(i);
		}
		for (DaemonSettings each : this.settings) {
			SardineportDaemon daemon = SardineportDaemon.create(each, this.clock);
			this.daemons.add(daemon);
			join(daemon.start());
		}
	}

	CompletionStage<Void> stop(int daemon) {
		return this.daemons.get(daemon).stop();
	}

	void stop() {
		this.daemons.stream().map(SardineportDaemon::stop).toList().forEach(DemoFleet::join);
		join(this.vertx.close().toCompletionStage());
	}

	NetworkAddress logService() {
		return this.log.address();
	}

	List<DaemonSettings> settings() {
		return this.settings;
	}

	List<ModelEngineStandIn> engines() {
		return this.engines;
	}

	/**
	 * Returns the numbers of requests that the backend servers received.
	 * @return one map for each backend server, keyed by tag on engines and by idempotency
	 * key on the ledger
	 */
	List<Map<String, Integer>> dispatches() {
		List<Map<String, Integer>> counts = new ArrayList<>();
		this.engines.forEach((engine) -> counts.add(engine.counters().dispatches()));
		counts.add(this.ledger.executions());
		return counts;
	}

	private void addSettings(int index) {
		NetworkAddress peer = FreeAddress.find();
		List<NetworkAddress> seeds = this.settings.stream().map(DaemonSettings::peerAddress).limit(2).toList();
		this.settings.add(new DaemonSettings("demo", DaemonId.of("daemon-" + index),
				FailureDomain.of(FAILURE_DOMAINS.get(index % FAILURE_DOMAINS.size())), FreeAddress.find(),
				FreeAddress.find(), peer, seeds, List.of(PEER_KEY), OPERATOR_TOKEN,
				new PlatformSettings(this.log.address(), this.vmList.address(), Duration.ofSeconds(2)), callers(),
				SchedulingSettings.defaults(), JournalSettings.defaults(), MembershipSettings.defaults(),
				ConfigurationSettings.defaults(), new StopSettings(KEEP_TIME.plusSeconds(1), Duration.ZERO)));
		this.vmList.putEntryVm(peer, VmState.LIVE);
	}

	private static CallerSettings callers() {
		CallerSettings defaults = CallerSettings.defaults();
		return new CallerSettings(defaults.maximumBodyBytes(), defaults.bodyTimeout(), defaults.maximumInFlight(),
				KEEP_TIME);
	}

	private void addBackendServer(String id, BackendKind kind, String pool, NetworkAddress address, int domain,
			int concurrency) {
		this.vmList.putBackendServer(new BackendServer(BackendServerId.of(id), kind, PoolName.of(pool),
				FailureDomain.of(FAILURE_DOMAINS.get(domain)), address, concurrency), VmState.LIVE);
	}

	private static void join(CompletionStage<Void> stage) {
		stage.toCompletableFuture().join();
	}

}
