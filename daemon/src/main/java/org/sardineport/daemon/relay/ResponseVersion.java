package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.relay.ResumedStream;
import org.sardineport.core.stream.BegunRun;
import org.sardineport.core.stream.StreamKey;
import org.sardineport.core.stream.StreamOrigin;
import org.sardineport.core.stream.StreamRun;
import org.sardineport.daemon.stream.StreamOriginService;

/**
 * Keeps the event stream of one request to backend servers of one software version, and
 * tells the fleet which version begins it, so that the caller can take it up at another
 * daemon. Has no effect on responses that are no streams. Confined to the event loop.
 */
final class ResponseVersion {

	/** Time beyond the time limit for which the fleet remembers a stream. */
	private static final Duration KEEP_MARGIN = Duration.ofSeconds(10);

	/**
	 * Maximum time for which events wait for a read of the list. Callers leave a stream
	 * after two seconds of silence.
	 */
	static final Duration LIST_TIMEOUT = Duration.ofSeconds(1);

	/** Time after which a new connection is usually open. */
	private static final Duration CONNECT_MARGIN = Duration.ofMillis(50);

	private final RelayServices services;

	private final RelayRequest request;

	private final boolean streams;

	private final OrganisationId organisation;

	private final StreamRun run;

	/** Whether other daemons remember each version to which an attempt was sent. */
	private final Map<SoftwareVersion, CompletableFuture<Boolean>> dispatched = new HashMap<>();

	private @Nullable SoftwareVersion required;

	/**
	 * Whether the stream began at another version than the one listed; {@code null} if it
	 * did not begin with this request.
	 */
	private @Nullable CompletableFuture<Boolean> beganAtOtherVersion;

	ResponseVersion(RelayServices services, RelayRequest request, OrganisationId organisation) {
		this.services = services;
		this.request = request;
		this.streams = request.admission().route().streams();
		this.organisation = organisation;
		this.run = new StreamRun(key(firstRequestId()), services.random().nextInt());
	}

	private StreamKey key(String requestId) {
		return StreamKey.of(this.organisation, requestId);
	}

	// Callers name the first request of a stream, however often they take it up.
	private String firstRequestId() {
		ResumedStream resumed = this.request.head().resumedStream();
		String own = this.request.head().requestId();
		return (resumed != null && resumed.firstRequestId() != null) ? resumed.firstRequestId() : own;
	}

	/**
	 * Returns whether the caller has events of the stream already, so that its version
	 * must be found before the request may run.
	 * @return whether to call {@link #find}
	 */
	boolean isResumed() {
		return this.streams && this.request.head().resumedStream() != null;
	}

	/**
	 * Finds out which version began the stream that the caller takes up.
	 * @param pool the pool that the request is routed to
	 * @return the origin; completes on any thread and never fails
	 */
	CompletionStage<StreamOrigin> find(PoolName pool) {
		Duration timeLimit = this.request.admission().route().timeout().plus(KEEP_MARGIN);
		ResumedStream resumed = this.request.head().resumedStream();
		if (resumed == null || resumed.firstRequestId() == null) {
			return this.services.origins().findSoleVersion(this.run.key(), pool, timeLimit);
		}
		return this.services.origins().find(this.run.key(), pool, timeLimit);
	}

	/**
	 * Lets only backend servers of a version run the request from now on.
	 * @param version the version that began the stream
	 */
	void require(SoftwareVersion version) {
		this.required = version;
	}

	SchedulingRequest restrict(SchedulingRequest schedulingRequest) {
		SoftwareVersion version = this.required;
		return (version != null) ? schedulingRequest.withRequiredVersion(version) : schedulingRequest;
	}

	boolean allows(SoftwareVersion version) {
		return version.satisfies(this.required);
	}

	/**
	 * Records that an attempt is about to be sent to a backend server. Its events need
	 * not wait until other daemons have confirmed the version: a stream that none of them
	 * knows is refused when its caller comes back, and never continued elsewhere.
	 * @param server the backend server
	 */
	void dispatched(BackendServer server) {
		if (this.streams) {
			SoftwareVersion version = server.softwareVersion();
			CompletableFuture<Boolean> reported = this.services.origins()
				.dispatched(this.run, version, keepTime())
				.toCompletableFuture();
			this.dispatched.merge(version, reported, (earlier, later) -> earlier.getNow(false) ? earlier : later);
			readListSoon(server);
		}
	}

	// The list is read while the backend server prepares the first event.
	private void readListSoon(BackendServer server) {
		if (this.required != null && !this.services.connections().isVersionCertain(server)) {
			this.services.vertx()
				.setTimer(CONNECT_MARGIN.toMillis(), (id) -> this.services.connections().readListSoon());
		}
	}

	/**
	 * Returns whether the first events of an attempt may be passed on. After attempts at
	 * several versions, other daemons must know of this one, as they would otherwise
	 * continue the stream at another one. Events that continue a stream wait until the
	 * list was read after the connection had been opened, as the backend server may have
	 * been replaced before. While the list cannot be read, the last one counts.
	 * @param attempt the attempt that has sent the events
	 * @return completes on any thread, within {@link #LIST_TIMEOUT}, with whether the
	 * events may be passed on
	 */
	CompletableFuture<Boolean> mayForward(PermittedAttempt attempt) {
		if (!this.streams) {
			return CompletableFuture.completedFuture(true);
		}
		if (this.required != null) {
			return mayContinue(attempt);
		}
		SoftwareVersion version = attempt.permit().backendServer().softwareVersion();
		return (this.dispatched.size() <= 1) ? CompletableFuture.completedFuture(true) : this.dispatched.get(version);
	}

	private CompletableFuture<Boolean> mayContinue(PermittedAttempt attempt) {
		CompletableFuture<Boolean> atOtherVersion = this.beganAtOtherVersion;
		CompletableFuture<Boolean> replaced = isReplaced(attempt);
		if (atOtherVersion != null) {
			replaced = replaced.thenCombine(atOtherVersion, (own, first) -> own || first);
		}
		CompletableFuture<Boolean> mayContinue = replaced.thenApply((isReplaced) -> !isReplaced);
		if (!mayContinue.isDone()) {
			this.services.connections().readListSoon();
			mayContinue.completeOnTimeout(true, LIST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		}
		return mayContinue;
	}

	private CompletableFuture<Boolean> isReplaced(PermittedAttempt attempt) {
		BackendConnection connection = Objects.requireNonNull(attempt.attempt().connection(),
				"the attempt must have been sent");
		return this.services.connections().isReplaced(connection, attempt.permit().backendServer());
	}

	/**
	 * Records that the caller is about to receive the first event of the stream.
	 * @param attempt the attempt that has sent it
	 */
	void begun(PermittedAttempt attempt) {
		if (!this.streams || this.required != null) {
			return;
		}
		SoftwareVersion version = attempt.permit().backendServer().softwareVersion();
		this.required = version;
		CompletableFuture<Boolean> replaced = isReplaced(attempt);
		this.beganAtOtherVersion = replaced;
		if (!replaced.isDone()) {
			this.services.connections().readListSoon();
		}
		BegunRun begun = new BegunRun(this.run, version, keepTime());
		report(replaced, this.services.origins(), begun, this.dispatched.size() > 1);
	}

	// Other daemons continue the stream at the version that they are told, and are told
	// once it is certain. While the list cannot be read, its last state counts. No
	// reference to the request is kept, as an outage of the list may last long.
	private static void report(CompletableFuture<Boolean> replaced, StreamOriginService origins, BegunRun begun,
			boolean isAmbiguous) {
		replaced.thenAccept((isReplaced) -> {
			if (isReplaced) {
				origins.contradicted(begun.run(), begun.keep());
			}
		});
		replaced.copy()
			.completeOnTimeout(false, LIST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.thenAccept((isReplaced) -> {
				if (!isReplaced) {
					report(origins, begun, isAmbiguous);
				}
			});
	}

	private static void report(StreamOriginService origins, BegunRun begun, boolean isAmbiguous) {
		if (isAmbiguous) {
			origins.begun(begun);
		}
		else {
			origins.remember(begun);
		}
	}

	private Duration keepTime() {
		return Duration.between(this.services.clock().instant(), this.request.deadline()).plus(KEEP_MARGIN);
	}

}
