package org.sardineport.daemon.exchange;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RequestScheduler;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Refusal;

/**
 * Grants each request a permit at once, unless it is told to hold or to refuse.
 */
public final class FakeScheduler implements RequestScheduler {

	private static final Duration DEFAULT_LIFETIME = Duration.ofSeconds(5);

	private final InstantSource clock;

	private final Queue<Duration> lifetimes = new ConcurrentLinkedQueue<>();

	private final Queue<BackendServer> servers = new ConcurrentLinkedQueue<>();

	private final Map<RequestId, PermitListener> held = new LinkedHashMap<>();

	private final Map<RequestId, PermitListener> late = new ConcurrentHashMap<>();

	private final List<RequestId> submitted = new CopyOnWriteArrayList<>();

	private final List<RequestId> abandoned = new CopyOnWriteArrayList<>();

	private final List<RunMeasurement> released = new CopyOnWriteArrayList<>();

	private final List<Permit> granted = new CopyOnWriteArrayList<>();

	private final Map<Permit, PermitListener> listeners = new ConcurrentHashMap<>();

	private volatile Refusal refusal;

	private volatile boolean holding;

	public FakeScheduler(InstantSource clock) {
		this.clock = clock;
	}

	/** Grants permits of these servers in turn. */
	public void serve(BackendServer... backendServers) {
		this.servers.clear();
		this.servers.addAll(List.of(backendServers));
	}

	public void hold() {
		this.holding = true;
	}

	public void refuse(Refusal newRefusal) {
		this.refusal = newRefusal;
	}

	/** Sets how long the next permit may be used. */
	public void nextLifetime(Duration lifetime) {
		this.lifetimes.add(lifetime);
	}

	public List<RequestId> submitted() {
		return this.submitted;
	}

	public List<RequestId> abandoned() {
		return this.abandoned;
	}

	public List<RunMeasurement> released() {
		return this.released;
	}

	public List<RunEnd> ends() {
		return this.released.stream().map(RunMeasurement::end).toList();
	}

	public List<Permit> granted() {
		return this.granted;
	}

	/** Takes a permit away for the top tier. */
	public void preempt(Permit permit) {
		this.listeners.get(permit).preempted(permit);
	}

	/** Grants all requests that are held. */
	public void grantHeld() {
		this.holding = false;
		Map<RequestId, PermitListener> listeners;
		synchronized (this.held) {
			listeners = new LinkedHashMap<>(this.held);
			this.held.clear();
		}
		new ArrayList<>(listeners.entrySet()).forEach((entry) -> grant(entry.getKey(), entry.getValue()));
	}

	/** Takes the permit that was granted last away for the top tier. */
	public void preemptLast() {
		Permit last = this.granted.get(this.granted.size() - 1);
		this.listeners.get(last).preempted(last);
	}

	@Override
	public void submit(SchedulingRequest request, PermitListener listener) {
		this.submitted.add(request.id());
		if (this.refusal != null) {
			listener.refused(this.refusal);
		}
		else if (this.holding) {
			synchronized (this.held) {
				this.held.put(request.id(), listener);
			}
		}
		else {
			grant(request.id(), listener);
		}
	}

	/** Grants all requests that were abandoned, as if the grant had been under way. */
	public void grantAbandoned() {
		this.late.forEach(this::grant);
	}

	@Override
	public void abandon(RequestId request) {
		synchronized (this.held) {
			PermitListener listener = this.held.remove(request);
			if (listener != null) {
				this.late.put(request, listener);
			}
		}
		this.abandoned.add(request);
	}

	@Override
	public void release(Permit permit, RunMeasurement measurement) {
		this.released.add(measurement);
	}

	private void grant(RequestId id, PermitListener listener) {
		BackendServer next = this.servers.remove();
		this.servers.add(next);
		Instant lapses = this.clock.instant()
			.plus(this.lifetimes.isEmpty() ? DEFAULT_LIFETIME : this.lifetimes.remove());
		Permit permit = new Permit(id, next, lapses);
		this.granted.add(permit);
		this.listeners.put(permit, listener);
		listener.granted(permit);
	}

}
