package org.sardineport.daemon.http;

import java.time.Instant;
import java.util.List;
import java.util.Map;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.configuration.ConfigurationSnapshot;
import org.sardineport.core.exchange.Admission;
import org.sardineport.core.exchange.HeaderNames;
import org.sardineport.core.exchange.RefusedException;
import org.sardineport.core.exchange.RequestHashes;
import org.sardineport.core.exchange.RunVerdict;
import org.sardineport.core.exchange.TokenEstimator;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.profile.Route;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.daemon.exchange.RequestRunner;
import org.sardineport.daemon.exchange.RunHandle;
import org.sardineport.daemon.exchange.RunRequest;

/**
 * Processes one request of a caller: checks the head, reads the body and starts the run.
 * Confined to the context of its connection.
 */
final class CallerExchange implements BodyListener {

	private static final long READINESS_POLL_MILLIS = 20;

	private final Vertx vertx;

	private final CallerServices services;

	private final StartupGate gate;

	private final HttpServerRequest request;

	private final RequestId id;

	private final HttpResponseSink sink;

	private final Instant arrival;

	private @Nullable Admission admission;

	private @Nullable BodyReader reader;

	private @Nullable RunHandle run;

	private boolean closed;

	CallerExchange(Vertx vertx, CallerServices services, StartupGate gate, HttpServerRequest request, RequestId id,
			HttpResponseSink sink) {
		this.vertx = vertx;
		this.services = services;
		this.gate = gate;
		this.request = request;
		this.id = id;
		this.sink = sink;
		this.arrival = services.clock().instant();
	}

	void start() {
		this.request.response().closeHandler((ignored) -> onClosed());
		this.request.exceptionHandler((ignored) -> onClosed());
		beginWhenReady();
	}

	private void beginWhenReady() {
		if (this.closed) {
			return;
		}
		Refusal refusal = this.gate.refusal();
		if (refusal != null && this.gate.isReadySoon()) {
			this.request.pause();
			this.vertx.setTimer(READINESS_POLL_MILLIS, (id) -> beginWhenReady());
			return;
		}
		if (refusal != null) {
			refused(refusal);
		}
		else {
			begin();
		}
		this.request.resume();
	}

	private void begin() {
		ConfigurationSnapshot configuration = this.services.configuration().current();
		try {
			Admission admitted = this.services.admission()
				.check(configuration, this.request.method().name(), this.request.uri(), this.request.headers()::getAll,
						this.arrival);
			if (!this.services.runner().hasRoomFor(admitted.route().tier())) {
				throw RefusedException.of(RequestRunner.capacityRefusal());
			}
			this.admission = admitted;
			int maxBytes = Math.min(admitted.route().maximumBodyBytes(), this.services.settings().maximumBodyBytes());
			this.reader = new BodyReader(this.vertx, this.request, maxBytes, this);
			this.reader.start(this.services.settings().bodyTimeout());
		}
		catch (RefusedException ex) {
			refused(ex.refusal());
		}
	}

	@Override
	public void refused(Refusal refusal) {
		BodyReader.discard(this.vertx, this.request);
		this.sink.refuse(refusal);
	}

	@Override
	public void body(byte[] bytes) {
		Admission admitted = this.admission;
		if (admitted == null) {
			throw new IllegalStateException("the body must not be read before the request head is admitted");
		}
		RunRequest runRequest = new RunRequest(scheduling(admitted, bytes), this.request.method().name(),
				this.request.uri(), headers(admitted), bytes, admitted.key(), admitted.route().durable());
		this.run = this.services.runner()
			.run(runRequest, this.sink, ContextExecutor.ofCurrent(this.vertx), prefersAsync());
	}

	private SchedulingRequest scheduling(Admission admitted, byte[] body) {
		Route route = admitted.route();
		return new SchedulingRequest(this.id, route.pool(), admitted.organisation().organisation(), route.tier(),
				TokenEstimator.estimate(body, route.answerTokens()),
				(route.answerTokens() > 0) ? RequestHashes.prefix(body) : 0,
				RequestHashes.fingerprint(admitted.organisation().organisation(), this.request.method().name(),
						this.request.uri(), body),
				route.runningPolicy(), admitted.organisation().tokensPerSecond(), this.arrival,
				this.arrival.plus(route.deadline()));
	}

	private List<Map.Entry<String, String>> headers(Admission admitted) {
		List<Map.Entry<String, String>> fields = this.request.headers()
			.entries()
			.stream()
			.map((field) -> Map.entry(field.getKey(), field.getValue()))
			.toList();
		return HeaderNames.forBackend(fields, !admitted.organisation().tokens().areRequired());
	}

	private boolean prefersAsync() {
		return this.request.headers()
			.getAll("Prefer")
			.stream()
			.flatMap((value) -> List.of(value.split(",")).stream())
			.anyMatch((value) -> value.strip().equalsIgnoreCase("respond-async"));
	}

	private void onClosed() {
		if (this.closed || this.request.response().ended()) {
			return;
		}
		this.closed = true;
		if (this.run != null) {
			this.run.callerDisconnected();
		}
		else {
			if (this.reader != null) {
				this.reader.stop();
			}
			this.sink.refuse(RunVerdict.callerGone(Outcome.NOT_RUN));
		}
		this.sink.closed();
	}

}
