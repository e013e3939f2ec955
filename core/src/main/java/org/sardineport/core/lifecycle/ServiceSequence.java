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
 * Services that are started one after the other and stopped in the reverse order. Safe
 * for use by any thread.
 */
public final class ServiceSequence implements Service {

	private final List<Service> services;

	private final List<Service> started = new CopyOnWriteArrayList<>();

	private final AtomicBoolean stopped = new AtomicBoolean();

	private ServiceSequence(List<Service> services) {
		this.services = List.copyOf(services);
	}

	/**
	 * Returns a sequence of which nothing is started.
	 * @param services the services in the order of their start
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
			return CompletableFuture
				.failedStage(new IllegalStateException("the services were stopped while they started"));
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
