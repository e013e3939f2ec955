package org.sardineport.daemon.http;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.configuration.ConfigurationSnapshot;
import org.sardineport.core.configuration.ConfigurationView;
import org.sardineport.core.exchange.AdmissionCheck;
import org.sardineport.core.exchange.BearerTokens;
import org.sardineport.core.exchange.RetryBudget;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.journal.IdempotencyKeys;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.profile.AcceptedTokens;
import org.sardineport.core.profile.OrganisationPolicy;
import org.sardineport.core.profile.Profile;
import org.sardineport.core.profile.Route;
import org.sardineport.core.request.Tier;
import org.sardineport.daemon.engine.HttpModelEngine;
import org.sardineport.daemon.exchange.FakeJournal;
import org.sardineport.daemon.exchange.FakeScheduler;
import org.sardineport.daemon.exchange.RequestRunner;
import org.sardineport.daemon.exchange.RunServices;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.settings.CallerSettings;
import org.sardineport.standins.engine.EngineOptions;
import org.sardineport.standins.engine.ModelEngineStandIn;
import org.sardineport.standins.http.FreeAddress;
import org.sardineport.standins.service.LedgerStandIn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A caller server in front of stand-in backend servers, with fakes for scheduling,
 * journal, fleet and configuration.
 */
final class CallerFixture implements AutoCloseable {

	static final String TOKEN = "token-of-guthi";

	static final Duration DEADLINE = Duration.ofSeconds(20);

	private static final String OMITTED_HEADER = "Test-Without";

	private static final Duration BODY_TIMEOUT = Duration.ofMillis(300);

	private static final int BODY_LIMIT = 100_000;

	final Vertx vertx = Vertx.vertx();

	final SteadyInstantSource clock = SteadyInstantSource.create();

	final Telemetry telemetry = Telemetry.create();

	final FakeScheduler scheduler = new FakeScheduler(this.clock);

	final FakeJournal journal = new FakeJournal();

	final ModelEngineStandIn engine;

	final LedgerStandIn ledger;

	final RequestRunner runner;

	final CallerServer server;

	final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	final NetworkAddress address = FreeAddress.find();

	private final HttpModelEngine backends;

	volatile boolean ready = true;

	volatile boolean backendsListed = true;

	CallerFixture(EngineOptions options) {
		this(options, 1000);
	}

	CallerFixture(EngineOptions options, int maximumInFlight) {
		this.engine = ModelEngineStandIn.create(this.vertx, this.clock, options);
		this.ledger = LedgerStandIn.create(this.vertx, Duration.ofMillis(1));
		start(this.engine);
		start(this.ledger);
		this.backends = HttpModelEngine.create(this.vertx, this.clock);
		this.runner = RequestRunner.create(RunServices.create(this.scheduler, this.journal, this.backends, this.clock,
				this.telemetry, RetryBudget.create(), 1024 * 1024), maximumInFlight);
		this.scheduler.serve(engineServer());
		CallerSettings settings = new CallerSettings(BODY_LIMIT, BODY_TIMEOUT, maximumInFlight, Duration.ofSeconds(10));
		this.server = CallerServer.create(this.vertx, this.address,
				new CallerServices(settings, AdmissionCheck.create(IdempotencyKeys.of(Duration.ofHours(1))),
						configuration(), () -> this.backendsListed, fleet(), this.journal, this.runner, this.clock,
						this.telemetry));
		start(this.server);
	}

	BackendServer engineServer() {
		return server("engine", BackendKind.MODEL_ENGINE, this.engine.address());
	}

	/** Starts another model engine on a port of its own. */
	ModelEngineStandIn startSecondEngine(EngineOptions options) {
		ModelEngineStandIn second = ModelEngineStandIn.create(this.vertx, this.clock, options);
		start(second);
		return second;
	}

	BackendServer ledgerServer() {
		return server("ledger", BackendKind.PLAIN_SERVICE, this.ledger.address());
	}

	static BackendServer server(String id, BackendKind kind, NetworkAddress address) {
		return new BackendServer(BackendServerId.of(id), kind, PoolName.of(id), FailureDomain.of("bole"), address, 8);
	}

	HttpResponse<String> send(String method, String path, String body, Consumer<HttpRequest.Builder> customizer)
			throws IOException, InterruptedException {
		return this.client.send(request(method, path, body, customizer), HttpResponse.BodyHandlers.ofString());
	}

	HttpRequest request(String method, String path, String body, Consumer<HttpRequest.Builder> customizer) {
		HttpRequest.Builder builder = HttpRequest.newBuilder(uri(path))
			.timeout(DEADLINE)
			.setHeader("Sardineport-Profile", "dictionary")
			.setHeader("Sardineport-Organisation", "schools")
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		customizer.accept(builder);
		HttpRequest request = builder.build();
		String omitted = request.headers().firstValue(OMITTED_HEADER).orElse("");
		return HttpRequest
			.newBuilder(request, (name, value) -> !name.equalsIgnoreCase(omitted) && !name.equals(OMITTED_HEADER))
			.build();
	}

	/** Removes a header from the request. */
	static Consumer<HttpRequest.Builder> without(String header) {
		return (request) -> request.setHeader(OMITTED_HEADER, header);
	}

	URI uri(String path) {
		return URI.create("http://" + this.address + path);
	}

	static String chat(String user, int tokens) {
		return "{\"model\":\"m\",\"stream\":true,\"user\":\"%s\",\"max_tokens\":%d,\"messages\":[]}".formatted(user,
				tokens);
	}

	long refusalCount(org.sardineport.core.request.RefusalReason reason) {
		return this.telemetry.refused(reason).getCount();
	}

	@Override
	public void close() {
		await(this.server.stop());
		await(this.backends.stop());
		await(this.vertx.close().toCompletionStage());
	}

	static void start(Service service) {
		await(service.start());
	}

	static <T> T await(java.util.concurrent.CompletionStage<T> stage) {
		try {
			return stage.toCompletableFuture().get(DEADLINE.toSeconds(), TimeUnit.SECONDS);
		}
		catch (Exception ex) {
			throw new IllegalStateException("stage must complete", ex);
		}
	}

	/**
	 * Checks how the permits ended, once as many have ended as expected. The caller may
	 * have its whole response before the permit is released.
	 * @param expected the ends in their order
	 */
	void assertEnds(RunEnd... expected) {
		CallerStreamTests.waitUntil(() -> this.scheduler.ends().size() >= expected.length);
		assertThat(this.scheduler.ends()).containsExactly(expected);
	}

	private ConfigurationView configuration() {
		Profile profile = profile();
		ConfigurationSnapshot snapshot = new ConfigurationSnapshot(7, Map.of(profile.name(), profile));
		return new ConfigurationView() {

			@Override
			public ConfigurationSnapshot current() {
				return snapshot;
			}

			@Override
			public boolean isReady() {
				return CallerFixture.this.ready;
			}

		};
	}

	private static Profile profile() {
		PoolName engines = PoolName.of("engine");
		PoolName ledgers = PoolName.of("ledger");
		List<Route> routes = List.of(
				new Route("POST", "/v1/chat/completions", engines, Tier.URGENT, DEADLINE, false, false, BODY_LIMIT,
						100),
				new Route("POST", "/v1/quick", engines, Tier.URGENT, Duration.ofMillis(200), false, false, BODY_LIMIT,
						100),
				new Route("POST", "/v1/completions", engines, Tier.BATCH, DEADLINE, false, true, BODY_LIMIT, 100),
				new Route("POST", "/postings", ledgers, Tier.STANDARD, DEADLINE, true, false, 1000, 0),
				new Route("GET", "/accounts/*", ledgers, Tier.STANDARD, DEADLINE, false, false, 1000, 0));
		OrganisationId schools = OrganisationId.of("schools");
		OrganisationId guthi = OrganisationId.of("guthi");
		OrganisationId locked = OrganisationId.of("locked");
		return new Profile(ProfileName.of("dictionary"), routes,
				Map.of(schools, new OrganisationPolicy(schools, 0, AcceptedTokens.notRequired()), guthi,
						new OrganisationPolicy(guthi, 0, AcceptedTokens.required(List.of(BearerTokens.hash(TOKEN)))),
						locked, new OrganisationPolicy(locked, 0, AcceptedTokens.required(List.of()))));
	}

	private FleetView fleet() {
		DaemonId self = DaemonId.of("d1");
		Member member = new Member(self, 1, MemberStatus.ALIVE, FailureDomain.of("bole"), this.address, this.address, 7,
				0);
		FleetSnapshot snapshot = new FleetSnapshot(self, List.of(member), List.of());
		return new FleetView() {

			@Override
			public FleetSnapshot current() {
				return snapshot;
			}

			@Override
			public void addListener(Consumer<FleetSnapshot> listener) {
				listener.accept(snapshot);
			}

		};
	}

}
