package org.sardineport.daemon.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.configuration.ConfigurationSnapshot;
import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.configuration.Publication;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.profile.Profile;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.settings.ConfigurationSettings;
import org.sardineport.settings.profile.ProfileReader;
import org.sardineport.standins.log.InMemoryLogService;
import org.sardineport.wire.configuration.ConfigurationRecordCodec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that daemons apply valid publications, start from the log service, a snapshot or
 * peers, and are not ready while both the log and the peers are unreachable.
 */
@Timeout(60)
class ConfigurationServiceTests {

	private static final ConfigurationSettings SETTINGS = new ConfigurationSettings("configuration",
			Duration.ofMillis(50), Duration.ofHours(1));

	private final InMemoryLogService log = InMemoryLogService.create();

	/** Log of the daemon that a test disconnects; it can fail independently. */
	private final InMemoryLogService disconnectedLog = InMemoryLogService.create();

	private final List<ConfigurationService> services = new ArrayList<>();

	private final List<Telemetry> telemetries = new ArrayList<>();

	private PeerHub hub = new PeerHub(3);

	@AfterEach
	void stopAll() {
		this.services.forEach((service) -> service.stop().toCompletableFuture().join());
	}

	@Test
	void publicationTakesEffectOnAllDaemons() throws Exception {
		List<ConfigurationService> all = List.of(startService(0, this.log), startService(1, this.log),
				startService(2, this.log));
		long version = publish("ledger", -1);
		for (ConfigurationService service : all) {
			awaitVersion(service, version);
			assertThat(service.current().profile(ProfileName.of("ledger"))).isPresent();
			awaitReady(service);
		}
	}

	@Test
	void invalidRecordsAndPublicationsAreIgnored() throws Exception {
		ConfigurationService service = startService(0, this.log);
		long first = publish("ledger", -1);
		this.log.append("configuration", new byte[] { 1, 2, 3 });
		append(new Publication("bad", first, List.of(new ProfileDocument(ProfileName.of("x"), "name: [")), List.of(),
				"test"));
		long last = publish("lookup", first);
		awaitVersion(service, last);
		assertThat(service.current().profiles()).containsOnlyKeys(ProfileName.of("ledger"), ProfileName.of("lookup"));
	}

	@ParameterizedTest
	@EnumSource
	void disconnectedDaemonBecomesReadyOnlyWithLogOrPeers(Disconnection disconnection) throws Exception {
		this.hub = new PeerHub(2);
		this.disconnectedLog.faults().outage(disconnection.fromLog);
		ConfigurationService healthy = startService(0, this.log);
		long version = publish("ledger", -1);
		awaitVersion(healthy, version);
		this.hub.setVersion(0, version);
		this.hub.setDisconnected(1, disconnection.fromPeers);
		ConfigurationService affected = startService(1, disconnection.fromLog ? this.disconnectedLog : this.log);
		if (disconnection.becomesReady) {
			awaitReady(affected);
			assertThat(affected.current().version()).isEqualTo(version);
		}
		else {
			awaitFailedReads();
			assertThat(affected.isReady()).isFalse();
			assertThat(affected.current()).isEqualTo(ConfigurationSnapshot.EMPTY);
			this.hub.setDisconnected(1, false);
			awaitReady(affected);
			assertThat(affected.current().version()).isEqualTo(version);
		}
	}

	@Test
	void newestVersionStaysInForceDuringLogOutage() throws Exception {
		ConfigurationService service = startService(0, this.log);
		long first = publish("ledger", -1);
		awaitVersion(service, first);
		this.log.faults().outage(true);
		awaitFailedReads();
		assertThat(service.isReady()).isTrue();
		assertThat(service.current().version()).isEqualTo(first);
		this.log.faults().outage(false);
		awaitVersion(service, publish("ledger", first));
	}

	@Test
	void daemonStartsFromSnapshotAfterRecordsAreDropped() throws Exception {
		ConfigurationSettings frequentSnapshots = new ConfigurationSettings("configuration", Duration.ofMillis(50),
				Duration.ofMillis(1));
		long first = publish("ledger", -1);
		ConfigurationService writer = startService(0, this.log, frequentSnapshots);
		awaitRecords(2);
		writer.stop().toCompletableFuture().join();
		this.log.truncate("configuration", first + 1);
		ConfigurationService fresh = startService(1, this.log);
		awaitVersion(fresh, first);
		long second = publish("lookup", first);
		awaitVersion(fresh, second);
		assertThat(fresh.current().profiles()).hasSize(2);
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void daemonStartsOnLongStream(boolean withSnapshot) throws Exception {
		ConfigurationSettings frequentSnapshots = new ConfigurationSettings("configuration", Duration.ofMillis(50),
				Duration.ofMillis(1));
		long version = publish("ledger", -1);
		for (int i = 0; i < 3000; i++) {
			this.log.append("configuration", new byte[] { 1 });
		}
		if (withSnapshot) {
			ConfigurationService writer = startService(0, this.log, frequentSnapshots);
			awaitRecords(3002);
			writer.stop().toCompletableFuture().join();
		}
		ConfigurationService fresh = startService(1, this.log);
		awaitReady(fresh);
		assertThat(fresh.current().version()).isEqualTo(version);
		long unreadable = this.telemetries.get(this.telemetries.size() - 1)
			.counter("configuration.verdicts.unreadable")
			.getCount();
		assertThat(unreadable).as("records read").isEqualTo(withSnapshot ? 0 : 3000);
	}

	private ConfigurationService startService(int number, InMemoryLogService log) {
		return startService(number, log, SETTINGS);
	}

	private ConfigurationService startService(int number, InMemoryLogService log, ConfigurationSettings settings) {
		Telemetry telemetry = Telemetry.create();
		this.telemetries.add(telemetry);
		ConfigurationService service = ConfigurationService.create(settings, ProfileReader.create(), log,
				this.hub.view(number), this.hub.transport(number), SteadyInstantSource.create(), telemetry);
		this.services.add(service);
		service.start();
		return service;
	}

	private long publish(String name, long base) throws Exception {
		String text = """
				name: %s
				routes: [{path: /a, pool: p, tier: urgent, deadline: 1s}]
				organisations: [{name: o}]
				""".formatted(name);
		Profile profile = ProfileReader.create().parse(text);
		return append(new Publication(name + base, base, List.of(new ProfileDocument(profile.name(), text)), List.of(),
				"test"));
	}

	private long append(Publication publication) {
		byte[] record = ConfigurationRecordCodec.create().encode(publication);
		return this.log.append("configuration", record).toCompletableFuture().join();
	}

	private static void awaitVersion(ConfigurationService service, long version) throws Exception {
		CompletableFuture<Void> reached = new CompletableFuture<>();
		service.listen((snapshot) -> {
			if (snapshot.version() >= version) {
				reached.complete(null);
			}
		});
		if (service.current().version() < version) {
			reached.get(30, TimeUnit.SECONDS);
		}
	}

	private static void awaitReady(ConfigurationService service) {
		while (!service.isReady()) {
			Thread.onSpinWait();
		}
	}

	private void awaitFailedReads() {
		long before = failedReads();
		while (failedReads() < before + 2) {
			Thread.onSpinWait();
		}
	}

	private long failedReads() {
		return this.telemetries.stream()
			.mapToLong((telemetry) -> telemetry.counter("configuration.read-failed.unavailable").getCount())
			.sum();
	}

	private void awaitRecords(int count) {
		while (this.log.records("configuration").size() < count) {
			Thread.onSpinWait();
		}
	}

	enum Disconnection {

		FROM_NOTHING(false, false, true), FROM_LOG(true, false, true), FROM_PEERS(false, true, true),
		FROM_BOTH(true, true, false);

		private final boolean fromLog;

		private final boolean fromPeers;

		private final boolean becomesReady;

		Disconnection(boolean fromLog, boolean fromPeers, boolean becomesReady) {
			this.fromLog = fromLog;
			this.fromPeers = fromPeers;
			this.becomesReady = becomesReady;
		}

	}

}
