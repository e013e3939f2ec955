package org.sardineport.daemon.stream;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.core.stream.OriginRegistry;
import org.sardineport.core.stream.StreamKey;
import org.sardineport.core.stream.StreamOrigin;
import org.sardineport.core.stream.StreamOriginMessage;
import org.sardineport.core.stream.StreamRun;
import org.sardineport.daemon.eventloop.EventLoop;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Tells other daemons which software version begins a stream, and finds it out when a
 * caller takes a stream up again. Runs the {@link OriginRegistry} on one thread. Safe for
 * use by any thread; no method blocks. Stages complete on the service's thread.
 */
public final class StreamOriginService implements Service {

	private static final int RING_SIZE = 16_384;

	private static final Duration TICK = Duration.ofMillis(20);

	/** Time between two removals of expired records. */
	private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(1);

	/** Time after which a stage completes even if the service has stopped. */
	private static final Duration STAGE_TIMEOUT = OriginRegistry.LOOKUP_TIMEOUT.multipliedBy(2);

	private final InstantSource clock;

	private final OriginReporter reporter;

	private final OriginRegistry registry;

	private final EventLoop eventLoop;

	private long expiredAt;

	private StreamOriginService(FleetView fleet, PeerTransport transport, InstantSource clock, RandomGenerator random,
			Telemetry telemetry) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.reporter = new OriginReporter(transport, clock, telemetry);
		this.registry = OriginRegistry.create(fleet::current, clock, random, this.reporter);
		this.eventLoop = EventLoop.create("stream-origins", RING_SIZE, TICK, this::tick);
		transport.listen(StreamOriginMessage.class, (sender, incarnation, address, message) -> {
			if (message instanceof StreamOriginMessage received) {
				this.reporter.received(received);
				offer(() -> this.registry.received(sender, address, received));
			}
		});
	}

	/**
	 * Returns a service that is not started yet. Must be called before the transport
	 * starts, as it registers a message listener.
	 * @param fleet the view of the fleet
	 * @param transport carries messages to other daemons
	 * @param clock a steady clock
	 * @param random source of randomness
	 * @param telemetry counts messages, lookups and evictions
	 * @return the service
	 */
	public static StreamOriginService create(FleetView fleet, PeerTransport transport, InstantSource clock,
			RandomGenerator random, Telemetry telemetry) {
		Objects.requireNonNull(fleet, "fleet must not be null");
		Objects.requireNonNull(transport, "transport must not be null");
		return new StreamOriginService(fleet, transport, clock, random, telemetry);
	}

	@Override
	public CompletionStage<Void> start() {
		return this.eventLoop.start();
	}

	@Override
	public CompletionStage<Void> stop() {
		return this.eventLoop.stop();
	}

	/**
	 * Reports that an attempt of a run is dispatched. Must be called for each attempt
	 * when it is dispatched. After attempts at several versions, the first event must
	 * wait for the stage and not go to the caller after {@code false}. After a single
	 * version and {@code false} a caller that comes back may be refused, or, if it used
	 * its request id before, be given the earlier stream's version.
	 * @param run the run
	 * @param version version of the backend server
	 * @param keep how long the caller may come back: the time left of the request and a
	 * margin
	 * @return whether enough other daemons remember the version; never fails
	 */
	public CompletionStage<Boolean> dispatched(StreamRun run, SoftwareVersion version, Duration keep) {
		return answer((listener) -> this.registry.dispatched(run, version, keep, listener), false);
	}

	/**
	 * Reports which version a run's first event comes from. Needed only if attempts of
	 * several versions were dispatched: until then the origin is ambiguous, and a caller
	 * that comes back is refused.
	 * @param run the run
	 * @param version version of the backend server that sent the event
	 * @param keep how long the caller may come back
	 * @return whether enough other daemons remember the version; never fails
	 */
	public CompletionStage<Boolean> begun(StreamRun run, SoftwareVersion version, Duration keep) {
		return answer((listener) -> this.registry.begun(run, version, keep, listener), false);
	}

	/**
	 * Reports that a run's first event came from another process than the one listed. A
	 * caller that comes back is refused from then on.
	 * @param run the run
	 * @param keep how long the caller may come back
	 */
	public void contradicted(StreamRun run, Duration keep) {
		offer(() -> this.registry.contradicted(run, keep));
	}

	/**
	 * Looks up which version began a stream.
	 * @param key key of the stream
	 * @return the origin; {@link StreamOrigin#UNKNOWN} if no daemon that knows it answers
	 * in time; never fails
	 */
	public CompletionStage<StreamOrigin> find(StreamKey key) {
		return answer((listener) -> this.registry.find(key, listener), StreamOrigin.UNKNOWN);
	}

	private <T> CompletionStage<T> answer(Consumer<Consumer<T>> command, T otherwise) {
		CompletableFuture<T> answer = new CompletableFuture<>();
		if (!offer(() -> command.accept(answer::complete))) {
			answer.complete(otherwise);
		}
		return answer.completeOnTimeout(otherwise, STAGE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	private boolean offer(Runnable command) {
		boolean accepted = this.eventLoop.offer(command);
		if (!accepted) {
			this.reporter.ringFull();
		}
		return accepted;
	}

	private void tick() {
		this.registry.tick();
		long now = this.clock.millis();
		if (now - this.expiredAt >= EXPIRY_INTERVAL.toMillis()) {
			this.expiredAt = now;
			this.registry.expire();
			this.reporter.memory(this.registry.size(), this.registry.evictions());
		}
	}

}
