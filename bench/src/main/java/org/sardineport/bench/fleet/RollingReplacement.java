package org.sardineport.bench.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.configuration.Publication;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.ProfileName;
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
import org.sardineport.standins.vm.VmListStandIn;
import org.sardineport.wire.configuration.ConfigurationRecordCodec;

/**
 * Rolling replacement of all daemons of a fleet, while callers send short requests and
 * long streams.
 */
final class RollingReplacement {

	static final int DAEMONS = 8;

	private static final int CALLERS = 16;

	private static final int ENGINES = 2;

	private static final int ENGINE_CONCURRENCY = 32;

	private static final Duration KEEP_TIME = Duration.ofSeconds(1);

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final String KEY = "key-of-the-measurement-0123456789";

	private static final String PROFILE = """
			name: rolling
			routes:
			  - {method: POST, path: /v1/chat/completions, pool: engines, tier: urgent, deadline: 20s, answerTokens: 50}
			organisations:
			  - name: schools
			""";

	private final List<String> domains = List.of("bole", "kaliti", "piassa");

	private final SteadyInstantSource clock = SteadyInstantSource.create();

	private final Vertx vertx = Vertx.vertx();

	private final InMemoryLogService log = InMemoryLogService.create();

	private final LogServiceStandIn logServer = LogServiceStandIn.create(this.vertx, this.log);

	private final VmListStandIn vmList = VmListStandIn.create(this.vertx, this.clock);

	private final List<ModelEngineStandIn> engines = new ArrayList<>();

	private final List<DaemonSettings> settings = new ArrayList<>();

	private final List<SardineportDaemon> daemons = new ArrayList<>();

	private final List<ReplacementCaller> callers = new ArrayList<>();

	private double seconds;

	private RollingReplacement() {
	}

	/**
	 * Runs the replacement and stops the fleet.
	 * @return the finished replacement, with its results
	 * @throws Exception if a part of the fleet did not start or stop in time
	 */
	static RollingReplacement run() throws Exception {
		RollingReplacement replacement = new RollingReplacement();
		replacement.startFleet();
		replacement.replaceUnderLoad();
		replacement.stopFleet();
		return replacement;
	}

	int completed() {
		return this.callers.stream().mapToInt(ReplacementCaller::completed).sum();
	}

	int dispatched() {
		return this.engines.stream()
			.flatMap((engine) -> engine.counters().dispatches().values().stream())
			.mapToInt(Integer::intValue)
			.sum();
	}

	double seconds() {
		return this.seconds;
	}

	List<String> failures() {
		return this.callers.stream().flatMap((caller) -> caller.failures().stream()).toList();
	}

	private void startFleet() throws Exception {
		await(this.logServer.start());
		await(this.vmList.start());
		for (int i = 0; i < ENGINES; i++) {
			ModelEngineStandIn engine = ModelEngineStandIn.create(this.vertx, this.clock,
					EngineOptions.fast().withConcurrency(ENGINE_CONCURRENCY));
			await(engine.start());
			this.engines.add(engine);
			this.vmList.putBackendServer(new BackendServer(BackendServerId.of("engine-" + i), BackendKind.MODEL_ENGINE,
					PoolName.of("engines"), FailureDomain.of(this.domains.get(i)), engine.address(),
					ENGINE_CONCURRENCY), VmState.LIVE);
		}
		Publication publication = new Publication("rolling", -1,
				List.of(new ProfileDocument(ProfileName.of("rolling"), PROFILE)), List.of(), "measurement");
		await(this.log.append("configuration", ConfigurationRecordCodec.create().encode(publication)));
		for (int i = 0; i < DAEMONS; i++) {
			this.settings.add(settings(i));
			this.daemons.add(start(this.settings.get(i)));
		}
	}

	private void replaceUnderLoad() throws Exception {
		List<String> addresses = this.settings.stream().map((each) -> each.callerAddress().toString()).toList();
		List<Thread> threads = new ArrayList<>();
		awaitCondition(() -> this.daemons.stream().allMatch(SardineportDaemon::isReady));
		for (int i = 0; i < CALLERS; i++) {
			this.callers.add(new ReplacementCaller(i, addresses, KEEP_TIME));
			threads.add(new Thread(this.callers.get(i), "caller-" + i));
		}
		Instant start = this.clock.instant();
		threads.forEach(Thread::start);
		awaitCondition(() -> this.callers.stream().allMatch((caller) -> caller.completed() > 0));
		for (int i = 0; i < DAEMONS; i++) {
			await(this.daemons.get(i).stop());
			SardineportDaemon next = start(this.settings.get(i));
			this.daemons.set(i, next);
			awaitCondition(next::isReady);
		}
		this.callers.forEach(ReplacementCaller::stop);
		for (Thread thread : threads) {
			thread.join();
		}
		this.seconds = Duration.between(start, this.clock.instant()).toMillis() / 1000.0;
	}

	private void stopFleet() throws Exception {
		List<CompletionStage<Void>> stops = this.daemons.stream().map(SardineportDaemon::stop).toList();
		for (CompletionStage<Void> stop : stops) {
			await(stop);
		}
		await(this.vertx.close().toCompletionStage());
	}

	private SardineportDaemon start(DaemonSettings each) throws Exception {
		SardineportDaemon daemon = SardineportDaemon.create(each, this.clock);
		await(daemon.start());
		return daemon;
	}

	private DaemonSettings settings(int number) {
		CallerSettings callers = CallerSettings.defaults();
		NetworkAddress peer = FreeAddress.find();
		this.vmList.putEntryVm(peer, VmState.LIVE);
		return new DaemonSettings("rolling", DaemonId.of("daemon-" + number),
				FailureDomain.of(this.domains.get(number % this.domains.size())), FreeAddress.find(),
				FreeAddress.find(), peer, List.of(), List.of(KEY), "token-of-the-measurement-0123456789",
				new PlatformSettings(this.logServer.address(), this.vmList.address(), Duration.ofSeconds(2)),
				new CallerSettings(callers.maximumBodyBytes(), callers.bodyTimeout(), callers.maximumInFlight(),
						KEEP_TIME),
				SchedulingSettings.defaults(), JournalSettings.defaults(), MembershipSettings.defaults(),
				ConfigurationSettings.defaults(), new StopSettings(KEEP_TIME, Duration.ZERO));
	}

	private static void awaitCondition(BooleanSupplier condition) {
		Polling.awaitCondition(condition, Duration.ofMillis(10), TIMEOUT, "condition was not met");
	}

	private static <T> T await(CompletionStage<T> stage) throws Exception {
		return stage.toCompletableFuture().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
	}

}
