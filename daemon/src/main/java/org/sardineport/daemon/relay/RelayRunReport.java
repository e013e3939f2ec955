package org.sardineport.daemon.relay;

import java.time.Duration;

import io.vertx.core.Future;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.exchange.ResponseFraming;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.relay.AttemptEnd;
import org.sardineport.core.relay.RelayOrganisation;
import org.sardineport.core.relay.RequestProgress;
import org.sardineport.core.relay.ResumedStream;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.Tier;
import org.sardineport.core.stream.StreamOrigin;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * Log lines and metrics of one forwarded request. Confined to the event loop.
 */
final class RelayRunReport {

	private static final EventLog LOG = EventLog.of(RelayRun.class);

	private final RelayServices services;

	private final RelayRequest request;

	private final RequestProgress progress;

	private final Tier tier;

	private @Nullable ResponseTrace trace;

	RelayRunReport(RelayServices services, RelayRequest request, RequestProgress progress, Tier tier) {
		this.services = services;
		this.request = request;
		this.progress = progress;
		this.tier = tier;
	}

	void dispatched(BackendServer server) {
		LOG.info("request.dispatched", "request", id(), "route", route(), "backend-server", server.id(),
				"software-version", server.softwareVersion(), "attempt", this.progress.attempts(), "tier",
				this.tier.label(), "version", version(), "proof-age-ms", this.services.inForce().readAgeMillis(),
				"waited-ms", ageMillis(), "stages-ms", this.request.stages());
	}

	void resumed(StreamOrigin origin) {
		ResumedStream resumed = this.request.head().resumedStream();
		LOG.info("request.resumed", "request", id(), "first-request",
				(resumed != null) ? resumed.firstRequestId() : null, "origin", origin, "age-ms", ageMillis());
		this.services.telemetry()
			.counter("requests.resumed." + (origin.version().isPresent() ? "known" : origin))
			.inc();
	}

	void silent(PermittedAttempt attempt, boolean replacementRequested) {
		LOG.info("request.backend-silent", "request", id(), "backend-server", attempt.server(), "silent-ms",
				attempt.attempt().silence().toMillis(), "attempt", this.progress.attempts(), "begun",
				this.progress.isResponseStarted(), "replacement-requested", replacementRequested, "age-ms",
				ageMillis());
	}

	void eventsHeld(BackendServerId server) {
		LOG.info("request.events-held", "request", id(), "backend-server", server, "attempt", this.progress.attempts(),
				"begun", this.progress.isResponseStarted(), "age-ms", ageMillis());
		this.services.telemetry().counter("requests.events-held").inc();
	}

	void replacementEnded(String cause) {
		LOG.info("request.replacement-ended", "request", id(), "attempt", this.progress.attempts(), "begun",
				this.progress.isResponseStarted(), "age-ms", ageMillis(), "cause", cause);
		this.services.telemetry().counter("requests.replacements.unused").inc();
	}

	void attemptEnded(PermittedAttempt ended, AttemptEnd end, boolean again, Fingerprint fingerprint, String detail) {
		LOG.info("request.attempt-ended", ended.attempt()
			.trace()
			.addTo("request", id(), "backend-server", ended.server(), "end", end.label(), "attempt",
					this.progress.attempts(), "again", again, "age-ms", ageMillis(), "fingerprint", fingerprint,
					"organisation", organisation(), "parts", String.join("+", this.request.head().sharedParts()),
					"head-received", ended.attempt().isHeadReceived(), "detail", detail));
		if (again) {
			this.services.telemetry().retried(end.retryReason()).inc();
		}
	}

	/**
	 * Records that the response of an attempt is complete, or may be.
	 * @param completed the attempt
	 */
	void responseCompleted(Attempt completed) {
		this.trace = completed.trace();
	}

	void responseStarted() {
		this.services.telemetry().timeToFirstByte(this.tier).update(Duration.ofMillis(ageMillis()));
	}

	void answered(int status, Future<Void> written) {
		this.request.stages().ended(RequestStage.RESPONSE);
		this.services.telemetry().completed(this.tier).inc();
		this.services.telemetry().duration(this.tier).update(Duration.ofMillis(ageMillis()));
		ResponseFraming framing = (this.trace != null) ? this.trace.framing() : null;
		if (framing != null) {
			this.services.telemetry().counter("responses.completed." + framing.label()).inc();
		}
		long answeredAfter = ageMillis();
		written.onComplete((ignored) -> {
			this.request.stages().ended(RequestStage.WRITE);
			logAnswered(status, answeredAfter);
		});
	}

	private void logAnswered(int status, long answeredAfter) {
		Object[] pairs = { "request", id(), "route", route(), "status", status, "attempts", this.progress.attempts(),
				"version", version(), "age-ms", answeredAfter, "stages-ms", this.request.stages() };
		LOG.info("request.answered", (this.trace != null) ? this.trace.addTo(pairs) : pairs);
	}

	void refused(Refusal refusal) {
		this.services.telemetry().refused(refusal.reason()).inc();
		LOG.info("request.refused", "request", id(), "route", route(), "kind", refusal.reason().label(), "attempts",
				this.progress.attempts(), "begun", this.progress.isResponseStarted(), "version", version(),
				"proof-age-ms", this.services.inForce().readAgeMillis(), "age-ms", ageMillis(), "limit-ms",
				Duration.between(this.request.arrival(), this.request.deadline()).toMillis(), "organisation",
				organisation(), "tier", this.tier.label(), "stages-ms", this.request.stages(), "detail",
				refusal.detail());
		if (this.progress.isResponseStarted()) {
			this.services.telemetry().cut(refusal.reason()).inc();
		}
	}

	void callerDisconnected() {
		LOG.info("request.caller-left", "request", id(), "route", route(), "attempts", this.progress.attempts(),
				"begun", this.progress.isResponseStarted(), "age-ms", ageMillis());
		this.services.telemetry().refused(RefusalReason.CALLER_GONE).inc();
	}

	private long ageMillis() {
		return Duration.between(this.request.arrival(), this.services.clock().instant()).toMillis();
	}

	private String id() {
		return this.request.head().requestId();
	}

	private String route() {
		return this.request.admission().route().name();
	}

	private @Nullable OrganisationId organisation() {
		RelayOrganisation organisation = this.request.admission().organisation();
		return (organisation != null) ? organisation.id() : null;
	}

	private long version() {
		return this.request.admission().configuration().version();
	}

}
