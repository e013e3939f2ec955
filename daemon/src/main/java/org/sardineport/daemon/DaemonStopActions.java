package org.sardineport.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import org.sardineport.core.configuration.ConfigurationView;
import org.sardineport.daemon.exchange.RequestRunner;
import org.sardineport.daemon.fleet.FleetService;
import org.sardineport.daemon.http.CallerServer;
import org.sardineport.daemon.stop.StopActions;

/**
 * Applies the steps of a planned stop to the services of this daemon.
 */
final class DaemonStopActions implements StopActions {

	private final FleetService fleet;

	private final ConfigurationView configuration;

	private final CallerServer callers;

	private final RequestRunner runner;

	private final Supplier<CompletionStage<Void>> flush;

	private final AtomicBoolean started = new AtomicBoolean();

	DaemonStopActions(FleetService fleet, ConfigurationView configuration, CallerServer callers, RequestRunner runner,
			Supplier<CompletionStage<Void>> flush) {
		this.fleet = fleet;
		this.configuration = configuration;
		this.callers = callers;
		this.runner = runner;
		this.flush = flush;
	}

	/**
	 * Called when all services have started. Before that, {@link #announce()} and
	 * {@link #flush()} complete without effect.
	 */
	void markStarted() {
		this.started.set(true);
	}

	@Override
	public boolean hasNeverServed() {
		return !this.started.get() || !this.configuration.isReady();
	}

	@Override
	public CompletionStage<Void> announce() {
		return (this.started.get()) ? this.fleet.leave() : CompletableFuture.completedStage(null);
	}

	@Override
	public void refuseNewRequests() {
		this.callers.refuseNewRequests();
	}

	@Override
	public int inFlight() {
		return this.callers.inFlight() + this.runner.inFlight();
	}

	@Override
	public CompletionStage<Void> flush() {
		return (this.started.get()) ? this.flush.get() : CompletableFuture.completedStage(null);
	}

}
