package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.exchange.RefusedException;
import org.sardineport.core.overload.UnreadTimeout;
import org.sardineport.core.relay.MemoryHolder;
import org.sardineport.core.relay.RelayAdmission;
import org.sardineport.core.relay.RequestHead;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * Reads one caller's request, admits or refuses it, and starts its run. Confined to the
 * event loop.
 */
final class RelayExchange {

	private static final EventLog LOG = EventLog.of(RelayExchange.class);

	/** Maximum time for which a request waits for this daemon to become ready. */
	private static final Duration MAX_READINESS_WAIT = Duration.ofMillis(1500);

	/** Interval between checks whether this daemon is ready. */
	private static final long READINESS_POLL_MILLIS = 20;

	private final RelayServices services;

	private final HttpServerRequest request;

	private final CallerResponse response;

	private final Instant arrival;

	private final StageTimes stages;

	private final RequestBody body;

	private @Nullable RequestHead head;

	private @Nullable RelayAdmission admission;

	private @Nullable RelayRun run;

	private boolean bodyComplete;

	private boolean ended;

	RelayExchange(RelayServices services, HttpServerRequest request, CallerResponse response, Instant arrival,
			StageTimes stages) {
		this.services = services;
		this.request = request;
		this.response = response;
		this.arrival = arrival;
		this.stages = stages;
		this.body = new RequestBody(services, request, this::refuseForWantOfMemory);
	}

	void start() {
		this.request.response().closeHandler((ignored) -> callerDisconnected());
		this.request.response().exceptionHandler((ignored) -> callerDisconnected());
		this.request.exceptionHandler((ignored) -> callerDisconnected());
		try {
			RequestHead parsed = this.services.protocol()
				.readRequestHead(this.request.method().name(), this.request.uri(), this.request.headers());
			this.head = parsed;
			this.request.handler(this::bodyReceived);
			this.request.endHandler((ignored) -> bodyComplete());
			long turn = this.services.passes().observe();
			if (mayHaveBeenGivenUp(parsed)) {
				this.request.pause();
				this.services.passes().afterRecentPass(turn, () -> admitUnlessDisconnected(parsed));
			}
			else {
				admit(parsed);
			}
		}
		catch (MalformedRequestException ex) {
			refuse(Refusal.of(RefusalReason.INVALID_HEADER, String.valueOf(ex.getMessage())), true);
		}
	}

	// A caller that has given up has closed its connection; the close may lie behind the
	// request in the socket. The body is not read until the next read pass has told.
	private boolean mayHaveBeenGivenUp(RequestHead callerHead) {
		return UnreadTimeout.mayHavePassed(age(), callerHead.remainingTime());
	}

	private void admitUnlessDisconnected(RequestHead callerHead) {
		if (this.ended) {
			this.services.overload().droppedUnread();
		}
		else {
			this.request.resume();
			admit(callerHead);
		}
	}

	private Duration age() {
		return Duration.between(this.arrival, this.services.clock().instant());
	}

	private void checkLoad(RequestHead callerHead, RelayAdmission admitted) throws RefusedException {
		Duration limit = callerHead.timeLimit(admitted.route());
		Duration remaining = limit.minus(age());
		if (remaining.isNegative() || remaining.isZero()) {
			throw RefusedException.of(Refusal.retryAfter(RefusalReason.DEADLINE_PASSED,
					"the time limit passed before the request was read",
					this.services.returnTimes().afterOverload(limit)));
		}
		OverloadMeter overload = this.services.overload();
		Optional<Duration> retryAfter = overload.check(admitted.tier(), remaining);
		if (retryAfter.isPresent()) {
			throw RefusedException
				.of(Refusal.retryAfter(
						RefusalReason.DAEMON_OVERLOADED, "the daemon is behind by %d ms, and its scheduling by %d ms"
							.formatted(overload.loopDelayMillis(), overload.schedulingDelayMillis()),
						retryAfter.get()));
		}
	}

	private void admit(RequestHead callerHead) {
		if (this.ended) {
			return;
		}
		try {
			RelayAdmission admitted = this.services.gate().admit(callerHead);
			checkLoad(callerHead, admitted);
			this.admission = admitted;
			this.stages.ended(RequestStage.ADMIT);
			this.body.start(admitted.configuration().callerLimits().maxBodyBytes());
		}
		catch (RefusedException ex) {
			boolean soon = ex.refusal().reason() == RefusalReason.NOT_READY && this.services.gate().isReadySoon();
			if (soon && this.services.clock().instant().isBefore(this.arrival.plus(MAX_READINESS_WAIT))) {
				this.request.pause();
				this.services.vertx().setTimer(READINESS_POLL_MILLIS, (id) -> admit(callerHead));
			}
			else {
				this.request.resume();
				refuse(ex.refusal(), false);
			}
		}
	}

	private void refuseForWantOfMemory() {
		RequestHead callerHead = this.head;
		RelayAdmission admitted = this.admission;
		if (!this.ended && callerHead != null && admitted != null) {
			Duration retryAfter = this.services.returnTimes().afterOverload(callerHead.timeLimit(admitted.route()));
			refuse(Refusal.retryAfter(RefusalReason.OVERLOADED, "the bodies of other requests fill the memory",
					retryAfter), false);
		}
	}

	/**
	 * Releases the memory of the body, as the request has ended.
	 */
	void releaseBody() {
		this.body.release();
	}

	/**
	 * Refuses the request if its caller sends the body too slowly.
	 */
	void checkProgress() {
		if (isReading() && this.body.isTooSlow()) {
			refuse(Refusal.of(RefusalReason.BODY_TOO_SLOW,
					"less than %d bytes a second were received for %d ms".formatted(
							this.services.progressLimit().minBytesPerSecond(),
							this.services.progressLimit().window().toMillis())),
					true);
		}
	}

	/**
	 * Refuses the request, which has not run, as its memory is needed for others.
	 */
	void giveUp() {
		RequestHead callerHead = this.head;
		RelayAdmission admitted = this.admission;
		if (isReading() && callerHead != null && admitted != null) {
			Duration retryAfter = this.services.returnTimes().afterOverload(callerHead.timeLimit(admitted.route()));
			refuse(Refusal.retryAfter(RefusalReason.OVERLOADED,
					"the body has stopped, and its memory is needed for other requests", retryAfter), true);
		}
	}

	/**
	 * Returns what the request holds before its body is complete.
	 * @return the memory; none for a request that is complete
	 */
	MemoryHolder<RelayExchange> holder() {
		return new MemoryHolder<>(this, isReading() ? Math.max(1, this.body.reserved()) : 0, this.body.stalledFor());
	}

	private boolean isReading() {
		return !this.ended && !this.bodyComplete && this.admission != null;
	}

	/**
	 * Refuses the request before any of it is read.
	 * @param refusal the reason, sent to the caller
	 */
	void refuseUnread(Refusal refusal) {
		refuse(refusal, false);
	}

	private void bodyReceived(Buffer bytes) {
		RelayAdmission admitted = this.admission;
		if (this.ended || admitted == null) {
			return;
		}
		this.body.add(bytes);
		int maxBytes = admitted.configuration().callerLimits().maxBodyBytes();
		if (this.body.length() > maxBytes) {
			refuse(Refusal.of(RefusalReason.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " bytes"), true);
		}
	}

	private void bodyComplete() {
		RequestHead callerHead = this.head;
		RelayAdmission admitted = this.admission;
		if (this.ended || callerHead == null || admitted == null) {
			return;
		}
		this.bodyComplete = true;
		this.stages.ended(RequestStage.BODY);
		RelayRequest complete = new RelayRequest(callerHead, admitted, this.request.headers(), this.body.bytes(),
				this.arrival, this.services.passes().observe(), this.stages);
		try {
			this.services.stop().check(complete);
		}
		catch (RefusedException ex) {
			refuse(ex.refusal(), false);
			return;
		}
		RelayRun started = new RelayRun(this.services, complete, this.response);
		this.run = started;
		started.start();
	}

	/**
	 * Answers the request, as the daemon ends soon.
	 */
	void daemonEnds() {
		Refusal refusal = Refusal.retryAfter(RefusalReason.STOPPING, "this daemon stops", StopAdmission.RETRY_AFTER);
		if (this.run != null) {
			this.run.daemonEnds(refusal);
		}
		else if (!this.ended) {
			refuse(refusal, true);
		}
	}

	private void refuse(Refusal refusal, boolean closeConnection) {
		this.ended = true;
		this.services.telemetry().refused(refusal.reason()).inc();
		RequestHead callerHead = this.head;
		String id = (callerHead != null) ? callerHead.requestId() : null;
		LOG.info("request.refused", "request", id, "path", (callerHead != null) ? callerHead.path() : "", "kind",
				refusal.reason().label(), "version", this.services.inForce().current().version(), "proof-age-ms",
				this.services.inForce().readAgeMillis(), "detail", refusal.detail());
		if (!this.request.isEnded()) {
			this.request.handler((ignored) -> {
			});
		}
		this.response.refuse(id, refusal, closeConnection);
	}

	private void callerDisconnected() {
		this.ended = true;
		if (this.run != null) {
			this.run.callerDisconnected();
		}
		else {
			this.response.callerDisconnected();
		}
	}

}
