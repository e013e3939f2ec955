package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.relay.ResumedStream;
import org.sardineport.core.stream.StreamKey;
import org.sardineport.core.stream.StreamOrigin;
import org.sardineport.core.stream.StreamRun;

/**
 * Keeps the event stream of one request to backend servers of one software version, and
 * tells the fleet which version begins it, so that the caller can take it up at another
 * daemon. Has no effect on responses that are no streams. Confined to the event loop.
 */
final class ResponseVersion {

	/** Time beyond the time limit for which the fleet remembers a stream. */
	private static final Duration KEEP_MARGIN = Duration.ofSeconds(10);

	private final RelayServices services;

	private final RelayRequest request;

	private final boolean streams;

	private final OrganisationId organisation;

	private final StreamRun run;

	/** Whether other daemons remember each version to which an attempt was sent. */
	private final Map<SoftwareVersion, CompletableFuture<Boolean>> dispatched = new HashMap<>();

	private @Nullable SoftwareVersion required;

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
	 * @return whether to call {@link #find()}
	 */
	boolean isResumed() {
		return this.streams && this.request.head().resumedStream() != null;
	}

	/**
	 * Asks the fleet which version began the stream that the caller takes up.
	 * @return the origin; completes on any thread and never fails
	 */
	CompletionStage<StreamOrigin> find() {
		ResumedStream resumed = this.request.head().resumedStream();
		if (resumed == null || resumed.firstRequestId() == null) {
			return CompletableFuture.completedFuture(StreamOrigin.UNKNOWN);
		}
		return this.services.origins().find(this.run.key());
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
		return this.required == null || this.required.equals(version);
	}

	/**
	 * Records that an attempt is about to be sent to a backend server. Its events need
	 * not wait until other daemons have confirmed the version: a stream that none of them
	 * knows is refused when its caller comes back, and never continued elsewhere.
	 * @param version the version of the backend server
	 */
	void dispatched(SoftwareVersion version) {
		if (this.streams) {
			CompletableFuture<Boolean> reported = this.services.origins()
				.dispatched(this.run, version, keepTime())
				.toCompletableFuture();
			this.dispatched.merge(version, reported, (earlier, later) -> earlier.getNow(false) ? earlier : later);
		}
	}

	/**
	 * Returns whether the first event of the stream may come from a version. After
	 * attempts at several versions, other daemons must know of this one, as they would
	 * otherwise continue the stream at another one.
	 * @param version the version of the backend server that sent the event
	 * @return completes on any thread, within a second, with whether the event may be
	 * passed on
	 */
	CompletableFuture<Boolean> known(SoftwareVersion version) {
		if (this.required != null || this.dispatched.size() <= 1) {
			return CompletableFuture.completedFuture(true);
		}
		return this.dispatched.get(version);
	}

	/**
	 * Records that the caller is about to receive the first event of the stream.
	 * @param version the version of the backend server that sent it
	 */
	void begun(SoftwareVersion version) {
		if (this.streams && this.required == null) {
			this.required = version;
			if (this.dispatched.size() > 1) {
				this.services.origins().begun(this.run, version, keepTime());
			}
		}
	}

	private Duration keepTime() {
		return Duration.between(this.services.clock().instant(), this.request.deadline()).plus(KEEP_MARGIN);
	}

}
