package org.sardineport.bench.journal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Vertx;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.daemon.journal.JournalService;
import org.sardineport.daemon.platform.HttpLogService;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.settings.JournalSettings;
import org.sardineport.standins.log.InMemoryLogService;
import org.sardineport.standins.log.LogServiceStandIn;

/**
 * Journals of several daemons that share a log service, which they reach over HTTP on a
 * loopback port.
 */
final class JournalFleet implements AutoCloseable {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

	private final Vertx vertx = Vertx.vertx();

	private final InMemoryLogService log = InMemoryLogService.create();

	private final LogServiceStandIn standIn = LogServiceStandIn.create(this.vertx, this.log);

	private final MutableFleetView fleet = new MutableFleetView();

	private final List<HttpLogService> adapters = new ArrayList<>();

	private final List<JournalService> journals = new ArrayList<>();

	private JournalFleet() {
	}

	static JournalFleet start(int daemons, Duration roundTrip) throws Exception {
		JournalFleet started = new JournalFleet();
		started.log.faults().roundTrip(roundTrip);
		started.standIn.start().toCompletableFuture().get(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		for (int number = 0; number < daemons; number++) {
			started.add(DaemonId.of("d" + number), number + 1);
		}
		for (JournalService journal : started.journals) {
			started.awaitReady(journal);
		}
		return started;
	}

	private void add(DaemonId daemon, long boot) {
		this.fleet.set(daemon, MemberStatus.ALIVE);
		HttpLogService adapter = HttpLogService.create(this.vertx, this.standIn.address(), TIMEOUT);
		this.adapters.add(adapter);
		JournalService journal = JournalService.create("bench", daemon, boot, JournalSettings.defaults(), adapter,
				this.fleet, SteadyInstantSource.create(), Telemetry.create());
		this.journals.add(journal);
		journal.start();
	}

	private void awaitReady(JournalService journal) throws Exception {
		long until = System.nanoTime() + START_TIMEOUT.toNanos();
		while (!journal.isReady()) {
			if (System.nanoTime() > until) {
				throw new TimeoutException("journal did not become ready in time");
			}
			CompletableFuture.runAsync(() -> {
			}, CompletableFuture.delayedExecutor(1, TimeUnit.MILLISECONDS)).get();
		}
	}

	JournalService journal(int number) {
		return this.journals.get(number % this.journals.size());
	}

	HttpLogService adapter() {
		return this.adapters.get(0);
	}

	InMemoryLogService log() {
		return this.log;
	}

	MutableFleetView fleet() {
		return this.fleet;
	}

	@Override
	public void close() throws Exception {
		for (JournalService journal : this.journals) {
			journal.stop().toCompletableFuture().get(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		}
		for (HttpLogService adapter : this.adapters) {
			adapter.stop().toCompletableFuture().get(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		}
		this.standIn.stop().toCompletableFuture().get(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		this.vertx.close().toCompletionStage().toCompletableFuture().get(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
	}

}
