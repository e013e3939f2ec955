package org.sardineport.core.lifecycle;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Starts services one after the other and stops those started in the reverse order. A
 * stop during the start prevents the start of the remaining services. Safe for use by any
 * thread.
 */
public final class ServiceSequence implements Service {

	private final List<Service> services;

	private final List<Service> started = new CopyOnWriteArrayList<>();

	private final AtomicBoolean stopped = new AtomicBoolean();

	private ServiceSequence(List<Service> services) {
		this.services = List.copyOf(services);
	}

	/**
	 * Returns a sequence whose services are not started yet.
	 * @param services services in the order in which to start them
	 * @return the sequence
	 */
	public static ServiceSequence of(List<Service> services) {
		return new ServiceSequence(Objects.requireNonNull(services, "services must not be null"));
	}

	@Override
	public CompletionStage<Void> start() {
		CompletionStage<Void> all = CompletableFuture.completedStage(null);
		for (Service service : this.services) {
			all = all.thenCompose((ignored) -> startUnlessStopped(service));
		}
		return all;
	}

	private CompletionStage<Void> startUnlessStopped(Service service) {
		if (this.stopped.get()) {
			return CompletableFuture.failedStage(new IllegalStateException("the services were stopped during startup"));
		}
		this.started.add(service);
		return service.start();
	}

	@Override
	public CompletionStage<Void> stop() {
		CompletionStage<Void> all = CompletableFuture.completedStage(null);
		if (!this.stopped.compareAndSet(false, true)) {
			return all;
		}
		List<Service> reversed = new ArrayList<>(this.started);
		Collections.reverse(reversed);
		for (Service service : reversed) {
			all = all.thenCompose((ignored) -> service.stop());
		}
		return all;
	}

}
