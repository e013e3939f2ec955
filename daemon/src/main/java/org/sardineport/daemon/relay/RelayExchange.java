package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.exchange.RefusedException;
import org.sardineport.core.relay.CallerHead;
import org.sardineport.core.relay.RelayAdmission;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * Reads one caller's request, lets it in or refuses it, and starts its run. Confined to
 * the event loop.
 */
final class RelayExchange {

	private static final EventLog LOG = EventLog.of(RelayExchange.class);

	/** Longest time for which a request waits until this daemon is ready. */
	private static final Duration LONGEST_WAIT = Duration.ofMillis(1500);

	/** Time between two looks whether it is. */
	private static final long POLL_MILLIS = 20;

	private final RelayServices services;

	private final HttpServerRequest request;

	private final CallerAnswer answer;

	private final Instant arrival;

	private final Buffer body = Buffer.buffer();

	private @Nullable CallerHead head;

	private @Nullable RelayAdmission admission;

	private @Nullable RelayRun run;

	private boolean over;

	RelayExchange(RelayServices services, HttpServerRequest request, CallerAnswer answer) {
		this.services = services;
		this.request = request;
		this.answer = answer;
		this.arrival = services.clock().instant();
	}

	void start() {
		this.request.response().closeHandler((ignored) -> callerLeft());
		this.request.response().exceptionHandler((ignored) -> callerLeft());
		this.request.exceptionHandler((ignored) -> callerLeft());
		try {
			CallerHead read = this.services.protocol()
				.readCaller(this.request.method().name(), this.request.uri(), this.request.headers());
			this.head = read;
			this.request.handler(this::received);
			this.request.endHandler((ignored) -> bodyComplete());
			admit(read);
		}
		catch (MalformedRequestException ex) {
			refuse(Refusal.of(RefusalReason.INVALID_HEADER, String.valueOf(ex.getMessage())), true);
		}
	}

	private void admit(CallerHead read) {
		if (this.over) {
			return;
		}
		try {
			this.admission = this.services.gate().admit(read);
			this.request.resume();
		}
		catch (RefusedException ex) {
			boolean soon = ex.refusal().reason() == RefusalReason.NOT_READY && this.services.gate().isSoonReady();
			if (soon && this.services.clock().instant().isBefore(this.arrival.plus(LONGEST_WAIT))) {
				this.request.pause();
				this.services.vertx().setTimer(POLL_MILLIS, (id) -> admit(read));
			}
			else {
				this.request.resume();
				refuse(ex.refusal(), false);
			}
		}
	}

	/**
	 * Refuses the request before anything of it was looked at.
	 * @param refusal why
	 */
	void refuseUnread(Refusal refusal) {
		refuse(refusal, false);
	}

	private void received(Buffer bytes) {
		RelayAdmission admitted = this.admission;
		if (this.over || admitted == null) {
			return;
		}
		this.body.appendBuffer(bytes);
		int most = admitted.configuration().callerLimits().mostBodyBytes();
		if (this.body.length() > most) {
			refuse(Refusal.of(RefusalReason.BODY_TOO_LARGE, "the body is larger than " + most + " bytes"), true);
		}
	}

	private void bodyComplete() {
		CallerHead read = this.head;
		RelayAdmission admitted = this.admission;
		if (this.over || read == null || admitted == null) {
			return;
		}
		RelayRun started = new RelayRun(this.services,
				new RelayRequest(read, admitted, this.request.headers(), this.body, this.arrival), this.answer);
		this.run = started;
		started.start();
	}

	private void refuse(Refusal refusal, boolean closeConnection) {
		this.over = true;
		this.services.telemetry().refused(refusal.reason()).inc();
		CallerHead read = this.head;
		String id = (read != null) ? read.requestId() : null;
		LOG.info("request.refused", "request", id, "path", (read != null) ? read.path() : "", "kind",
				refusal.reason().label(), "version", this.services.inForce().current().version(), "proof-age-ms",
				this.services.inForce().proofAgeMillis(), "detail", refusal.detail());
		this.request.handler((ignored) -> {
		});
		this.answer.refuse(id, refusal, closeConnection);
	}

	private void callerLeft() {
		this.over = true;
		if (this.run != null) {
			this.run.callerLeft();
		}
		else {
			this.answer.closed();
		}
	}

}
