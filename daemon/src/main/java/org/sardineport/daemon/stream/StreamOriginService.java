package org.sardineport.daemon.stream;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.ListRead;
import org.sardineport.core.fleet.ListReads;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.core.stream.BegunRun;
import org.sardineport.core.stream.OriginEvidence;
import org.sardineport.core.stream.OriginRecorder;
import org.sardineport.core.stream.OriginRegistry;
import org.sardineport.core.stream.OriginStorageRequest;
import org.sardineport.core.stream.OriginStore;
import org.sardineport.core.stream.RunOrigin;
import org.sardineport.core.stream.StoredOrigin;
import org.sardineport.core.stream.StreamKey;
import org.sardineport.core.stream.StreamOrigin;
import org.sardineport.core.stream.StreamOriginMessage;
import org.sardineport.core.stream.StreamRun;
import org.sardineport.core.stream.VersionHistory;
import org.sardineport.daemon.eventloop.EventLoop;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Tells other daemons which software version begins a stream, and finds it out when a
 * caller takes a stream up again. Runs the {@link OriginRegistry} and the
 * {@link OriginRecorder} on one thread. Safe for use by any thread; no method blocks.
 * Stages complete on any thread.
 */
public final class StreamOriginService implements Service {

	private static final int RING_SIZE = 16_384;

	private static final Duration TICK = Duration.ofMillis(50);

	/** Time between two removals of expired records. */
	private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(1);

	/**
	 * Maximum time for which the store and the list are asked about a stream that no
	 * daemon remembers.
	 */
	static final Duration STORE_TIMEOUT = Duration.ofSeconds(1);

	/**
	 * Maximum time for which a lookup waits for the report of the first event. The daemon
	 * that serves the stream may have to read the list before it reports.
	 */
	private static final Duration BEGIN_TIMEOUT = Duration.ofSeconds(1);

	/** Time between two lookups of a stream whose first event is not reported yet. */
	private static final Duration BEGIN_POLL = Duration.ofMillis(100);

	/** Maximum age of a read of the list that is relied on without another one. */
	private static final Duration LIST_AGE = Duration.ofMillis(2500);

	/** Time after which a stage completes even if the service has stopped. */
	private static final Duration STAGE_TIMEOUT = OriginRegistry.LOOKUP_TIMEOUT.multipliedBy(2);

	private final FleetView fleet;

	private final ListReads listReads;

	private final OriginStore store;

	private final InstantSource clock;

	private final OriginReporter reporter;

	private final OriginRegistry registry;

	private final VersionHistory history;

	private final OriginRecorder recorder;

	private final EventLoop eventLoop;

	private long expiredAt;

	private boolean isTickWanted = true;

	private volatile boolean isMixed;

	private StreamOriginService(FleetView fleet, ListReads listReads, OriginStore store, PeerTransport transport,
			InstantSource clock, RandomGenerator random, Telemetry telemetry) {
		this.fleet = fleet;
		this.listReads = Objects.requireNonNull(listReads, "listReads must not be null");
		this.store = Objects.requireNonNull(store, "store must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.reporter = new OriginReporter(transport, clock, telemetry);
		this.registry = OriginRegistry.create(fleet::current, clock, random, this.reporter);
		this.eventLoop = EventLoop.onDemand("stream-origins", RING_SIZE, TICK, this::tick, this::untilTickDue);
		transport.listen(StreamOriginMessage.class, (sender, incarnation, address, message) -> {
			if (message instanceof StreamOriginMessage received) {
				this.reporter.received(received);
				offer(() -> handle(sender, address, received));
			}
		});
		this.history = VersionHistory.create(clock);
		this.recorder = OriginRecorder.create(fleet::current, this.history, store, clock, this::offerAndTick);
		listReads.addListener((read) -> offer(() -> listed(read)));
	}

	/**
	 * Returns a service that is not started yet. Must be called before the transport
	 * starts, as it registers a message listener.
	 * @param fleet the view of the fleet
	 * @param listReads reads of the VM list, whose software versions are observed
	 * @param store keeps origins where they survive the loss of all daemons
	 * @param transport carries messages to other daemons
	 * @param clock a steady clock
	 * @param random source of randomness
	 * @param telemetry counts messages, lookups and evictions
	 * @return the service
	 */
	public static StreamOriginService create(FleetView fleet, ListReads listReads, OriginStore store,
			PeerTransport transport, InstantSource clock, RandomGenerator random, Telemetry telemetry) {
		Objects.requireNonNull(fleet, "fleet must not be null");
		Objects.requireNonNull(transport, "transport must not be null");
		return new StreamOriginService(fleet, listReads, store, transport, clock, random, telemetry);
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
		return answer((listener) -> {
			if (isSole(version)) {
				this.registry.dispatchedAtSoleVersion(run, version, keep);
				listener.accept(true);
			}
			else {
				this.registry.dispatched(run, version, keep, listener);
			}
		}, false);
	}

	// Before the first read of the list a pool may run any number of versions.
	private boolean isSole(SoftwareVersion version) {
		return !this.isMixed && this.history.hasListed(version);
	}

	/**
	 * Reports which version a run's first event comes from, after attempts at several
	 * versions: until then the origin is ambiguous, and a caller that comes back is
	 * refused.
	 * @param begun the run
	 * @return whether enough other daemons remember the version; never fails
	 */
	public CompletionStage<Boolean> begun(BegunRun begun) {
		return answer((listener) -> {
			this.registry.begun(begun.run(), begun.version(), begun.keep(), listener);
			requestStorage(begun.stored());
		}, false);
	}

	/**
	 * Records which version a run's first event comes from, after attempts at that
	 * version only. Other daemons hear of it while a pool runs several versions.
	 * @param begun the run
	 */
	public void remember(BegunRun begun) {
		offer(() -> {
			if (this.isMixed) {
				share(begun);
			}
			else {
				this.registry.remember(begun);
			}
		});
	}

	private void share(BegunRun begun) {
		this.registry.begun(begun.run(), begun.version(), begun.keep(), (ignored) -> {
		});
		requestStorage(begun.stored());
	}

	/**
	 * Reports that a run's first event came from another process than the one listed. A
	 * caller that comes back is refused from then on.
	 * @param run the run
	 * @param keep how long the caller may come back
	 */
	public void contradicted(StreamRun run, Duration keep) {
		offer(() -> {
			this.registry.contradicted(run, keep);
			requestStorage(new StoredOrigin(run.key(), RunOrigin.contradicted(run.number())));
		});
	}

	/**
	 * Looks up which version began a stream: in the memory of the daemons, then in the
	 * store, then by the versions that the pool has run of late. While only dispatches
	 * are known, it waits for the report of the first event.
	 * @param key key of the stream
	 * @param pool pool that the stream began in
	 * @param timeLimit longest time that a stream of its route may last
	 * @return the origin; {@link StreamOrigin#UNKNOWN} if it is not proved; never fails
	 */
	public CompletionStage<StreamOrigin> find(StreamKey key, PoolName pool, Duration timeLimit) {
		return findRemembered(key, this.clock.instant().plus(BEGIN_TIMEOUT))
			.thenCompose((evidence) -> isReliable(evidence) ? CompletableFuture.completedFuture(evidence.origin())
					: findStored(key, pool, timeLimit, evidence));
	}

	private CompletionStage<OriginEvidence> findRemembered(StreamKey key, Instant waitUntil) {
		CompletionStage<OriginEvidence> remembered = answer((listener) -> this.registry.find(key, listener),
				OriginEvidence.NONE);
		return remembered.thenCompose((evidence) -> {
			boolean isFinal = isReliable(evidence) || !evidence.record().isBeginAwaited();
			return (isFinal || !this.clock.instant().isBefore(waitUntil)) ? CompletableFuture.completedStage(evidence)
					: findAgain(key, waitUntil);
		});
	}

	private CompletionStage<OriginEvidence> findAgain(StreamKey key, Instant waitUntil) {
		Executor afterPause = CompletableFuture.delayedExecutor(BEGIN_POLL.toMillis(), TimeUnit.MILLISECONDS);
		return CompletableFuture.supplyAsync(() -> findRemembered(key, waitUntil), afterPause)
			.thenCompose((found) -> found);
	}

	// That an attempt was dispatched at a version does not prove that the stream began
	// there. While a pool runs several versions, the first event is reported as well. A
	// daemon that stood still or was cut off does not know whether it does, unless most
	// daemons that would have been told reply; an outage of the list must not end
	// streams.
	private boolean isReliable(OriginEvidence evidence) {
		if (evidence.origin().version().isEmpty()) {
			return false;
		}
		boolean isListRecent = this.listReads.last().beganSince(this.clock.instant().minus(LIST_AGE));
		return evidence.record().hasBegun() || (!this.isMixed && (isListRecent || evidence.isFromMajority()));
	}

	private CompletionStage<StreamOrigin> findStored(StreamKey key, PoolName pool, Duration timeLimit,
			OriginEvidence evidence) {
		return bounded(key,
				this.store.find(key)
					.thenApply(evidence::originWith)
					.thenCompose((origin) -> (origin == StreamOrigin.UNKNOWN)
							? readSoleVersion(pool, timeLimit).thenApply(evidence::originWith)
							: CompletableFuture.completedStage(origin)));
	}

	/**
	 * Finds the only version that a pool has run of late, for a stream whose caller does
	 * not tell which one it takes up.
	 * @param request key of the caller's request
	 * @param pool pool that the stream began in
	 * @param timeLimit longest time that a stream of its route may last
	 * @return the origin; {@link StreamOrigin#UNKNOWN} if the pool may have run several
	 * versions; never fails
	 */
	public CompletionStage<StreamOrigin> findSoleVersion(StreamKey request, PoolName pool, Duration timeLimit) {
		return bounded(request, readSoleVersion(pool, timeLimit));
	}

	private CompletionStage<StreamOrigin> bounded(StreamKey key, CompletionStage<StreamOrigin> found) {
		long startedAt = this.clock.millis();
		return found.exceptionally((failure) -> StreamOrigin.UNKNOWN)
			.toCompletableFuture()
			.completeOnTimeout(StreamOrigin.UNKNOWN, STORE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.thenApply((origin) -> {
				this.reporter.stored(key, origin, this.clock.millis() - startedAt);
				return origin;
			});
	}

	// The list must have been read after the caller came back, as this daemon may have
	// stood still or been cut off before.
	private CompletionStage<StreamOrigin> readSoleVersion(PoolName pool, Duration timeLimit) {
		if (timeLimit.compareTo(VersionHistory.RETENTION) >= 0) {
			return CompletableFuture.completedStage(StreamOrigin.UNKNOWN);
		}
		CompletionStage<ListRead> read = this.listReads.since(this.clock.instant());
		this.listReads.readSoon();
		return this.store.soleVersions()
			.thenCombine(read,
					(stated, listed) -> listed.soleVersion(pool)
						.filter((version) -> stated.version(pool).filter(version::equals).isPresent())
						.map(StreamOrigin::of)
						.orElse(StreamOrigin.UNKNOWN));
	}

	private void handle(DaemonId sender, NetworkAddress address, StreamOriginMessage message) {
		if (message instanceof OriginStorageRequest request) {
			store(new StoredOrigin(request.key(), request.run()));
		}
		else {
			this.registry.received(sender, address, message);
		}
	}

	private void requestStorage(StoredOrigin origin) {
		FleetSnapshot snapshot = this.fleet.current();
		Optional<Member> writer = OriginRecorder.writer(snapshot);
		if (writer.isEmpty() || writer.get().id().equals(snapshot.self())) {
			store(origin);
		}
		else {
			this.reporter.send(writer.get().peerAddress(), new OriginStorageRequest(origin.key(), origin.run()));
		}
	}

	private void store(StoredOrigin origin) {
		if (!this.recorder.add(origin)) {
			this.reporter.notStored();
		}
	}

	// Streams that began while the pool ran one version are reported and stored as soon
	// as it runs several.
	private void listed(ListRead read) {
		this.history.listed(read.servers());
		this.isTickWanted = true;
		boolean wasMixed = this.isMixed;
		this.isMixed = this.history.isMixed();
		if (this.isMixed && !wasMixed) {
			this.registry.begunRuns().forEach(this::share);
		}
	}

	private <T> CompletionStage<T> answer(Consumer<Consumer<T>> command, T otherwise) {
		CompletableFuture<T> answer = new CompletableFuture<>();
		if (!offer(() -> command.accept(answer::complete))) {
			answer.complete(otherwise);
		}
		return answer.completeOnTimeout(otherwise, STAGE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void offerAndTick(Runnable command) {
		offer(() -> {
			command.run();
			this.isTickWanted = true;
		});
	}

	private boolean offer(Runnable command) {
		boolean accepted = this.eventLoop.offer(command);
		if (!accepted) {
			this.reporter.ringFull();
		}
		return accepted;
	}

	// What waits is looked after with each tick; a version that is listed and an answer
	// of the store are acted upon with the next one.
	private Duration untilTickDue() {
		if (this.isTickWanted || !this.registry.isIdle() || !this.recorder.isIdle()) {
			return Duration.ZERO;
		}
		return EXPIRY_INTERVAL.minusMillis(this.clock.millis() - this.expiredAt);
	}

	private void tick() {
		this.isTickWanted = false;
		this.registry.tick();
		this.recorder.tick();
		long now = this.clock.millis();
		if (now - this.expiredAt >= EXPIRY_INTERVAL.toMillis()) {
			this.expiredAt = now;
			this.registry.expire();
			this.reporter.memory(this.registry.size(), this.registry.evictions());
		}
	}

}
