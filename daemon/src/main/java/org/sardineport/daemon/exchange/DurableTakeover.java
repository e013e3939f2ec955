package org.sardineport.daemon.exchange;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.journal.DispatchedRun;
import org.sardineport.core.journal.DurableRunner;
import org.sardineport.core.journal.JournalClaim;
import org.sardineport.core.journal.KeyedRequest;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Tier;

/**
 * Takes over durable requests of failed daemons. Requests that were not dispatched are
 * run; the responses of dispatched ones are collected from the streams of their engines.
 * A dispatched request is never sent again. Thread-safe.
 */
public final class DurableTakeover implements DurableRunner {

	private final RequestRunner runner;

	private final RunServices services;

	private final FleetView fleet;

	private final Supplier<SerialExecutor> executors;

	private DurableTakeover(RequestRunner runner, RunServices services, FleetView fleet,
			Supplier<SerialExecutor> executors) {
		this.runner = Objects.requireNonNull(runner, "runner must not be null");
		this.services = Objects.requireNonNull(services, "services must not be null");
		this.fleet = Objects.requireNonNull(fleet, "fleet must not be null");
		this.executors = Objects.requireNonNull(executors, "executors must not be null");
	}

	/**
	 * Creates a takeover.
	 * @param runner runs the requests that were not dispatched
	 * @param services the shared services
	 * @param fleet looks up the backend servers of dispatched requests
	 * @param executors provides an executor for each run
	 * @return the takeover
	 */
	public static DurableTakeover create(RequestRunner runner, RunServices services, FleetView fleet,
			Supplier<SerialExecutor> executors) {
		return new DurableTakeover(runner, services, fleet, executors);
	}

	@Override
	public void run(KeyedRequest request, JournalClaim claim) {
		List<Map.Entry<String, String>> headers = List.copyOf(request.headers().entrySet());
		RunRequest runRequest = new RunRequest(request.scheduling(), request.method(), request.pathAndQuery(), headers,
				request.body(), request.key(), request.durable());
		this.runner.takeOver(runRequest, claim, this.executors.get());
	}

	@Override
	public void resume(DispatchedRun run) {
		Optional<BackendServer> server = this.fleet.current()
			.backendServers()
			.stream()
			.filter((known) -> known.id().equals(run.backendServer()))
			.filter((known) -> known.kind() == BackendKind.MODEL_ENGINE)
			.findFirst();
		if (server.isEmpty()) {
			this.services.journal().finish(run.claim(), Outcome.UNKNOWN, null);
			return;
		}
		new StreamCollector(this.services, run, this.executors.get(), this.runner.begin(Tier.BATCH))
			.start(server.get());
	}

}
