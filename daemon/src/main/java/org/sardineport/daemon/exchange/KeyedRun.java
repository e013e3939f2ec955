package org.sardineport.daemon.exchange;

import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.exchange.RunVerdict;
import org.sardineport.core.journal.AcceptDecision;
import org.sardineport.core.journal.IdempotencyKey;
import org.sardineport.core.journal.KeyedRequest;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * A request with an idempotency key. The journal accepts it first; the request is then
 * run, joined to a run in progress, or answered from the stored response. Used on the
 * run's executor only.
 */
final class KeyedRun implements RunHandle {

	private static final int STATUS_ACCEPTED = 202;

	private final RunServices services;

	private final RunRequest request;

	private final IdempotencyKey key;

	private final ResponseSink sink;

	private final SerialExecutor executor;

	private final Runnable whenEnded;

	private final boolean respondAsync;

	private @Nullable RequestRun run;

	private boolean callerDisconnected;

	KeyedRun(RunServices services, RunRequest request, ResponseSink sink, SerialExecutor executor, boolean respondAsync,
			Runnable whenEnded) {
		this.services = services;
		this.request = request;
		this.key = Objects.requireNonNull(request.key(), "key must not be null");
		this.sink = sink;
		this.executor = executor;
		this.respondAsync = respondAsync;
		this.whenEnded = whenEnded;
	}

	void start() {
		this.services.journal()
			.accept(keyedRequest())
			.whenComplete((decision, failure) -> this.executor.execute(() -> onDecision(decision, failure)));
	}

	@Override
	public void callerDisconnected() {
		this.callerDisconnected = true;
		if (this.run != null) {
			this.run.callerDisconnected();
		}
	}

	private void onDecision(@Nullable AcceptDecision decision, @Nullable Throwable failure) {
		if (decision instanceof AcceptDecision.Accepted accepted) {
			onAccepted(accepted);
		}
		else if (decision instanceof AcceptDecision.Joined) {
			onJoined();
		}
		else if (decision instanceof AcceptDecision.Finished finished) {
			JoinedResponse.deliver(finished.state(), this.sink);
			this.whenEnded.run();
		}
		else {
			Refusal refusal = (decision instanceof AcceptDecision.Refused refused) ? refused.refusal()
					: Refusal.of(RefusalReason.JOURNAL_UNSETTLED, "The journal failed: " + failure);
			this.sink.refuse(refusal);
			this.whenEnded.run();
		}
	}

	private void onAccepted(AcceptDecision.Accepted accepted) {
		ClaimDispatchRecorder recorder = new ClaimDispatchRecorder(this.services.journal(), accepted.claim(),
				this.services.maxResponseBytes());
		if (this.callerDisconnected && !this.request.durable()) {
			Refusal refusal = RunVerdict.callerGone(Outcome.NOT_RUN);
			recorder.release(refusal);
			this.sink.refuse(refusal);
			this.whenEnded.run();
			return;
		}
		ResponseSink runSink = this.sink;
		if (this.respondAsync) {
			respondAccepted();
			runSink = new DetachedSink(this.services.telemetry());
		}
		this.run = new RequestRun(this.services, this.request, runSink, this.executor, recorder, this.whenEnded);
		this.run.start();
	}

	private void onJoined() {
		if (this.respondAsync) {
			respondAccepted();
			this.whenEnded.run();
			return;
		}
		JoinedResponse.deliverWhenFinished(this.services, this.request, this.sink, this.executor, this.whenEnded);
	}

	private void respondAccepted() {
		byte[] body = "{\"phase\":\"accepted\"}\n".getBytes(StandardCharsets.UTF_8);
		this.sink.head(STATUS_ACCEPTED,
				List.of(Map.entry("Location",
						"/v1/requests/" + URLEncoder.encode(this.key.value(), StandardCharsets.UTF_8)),
						Map.entry("Preference-Applied", "respond-async"), Map.entry("Content-Type", "application/json"),
						Map.entry("Content-Length", Integer.toString(body.length))));
		this.sink.chunk(ByteBuffer.wrap(body));
		this.sink.end();
	}

	private KeyedRequest keyedRequest() {
		Map<String, String> headers = new LinkedHashMap<>();
		this.request.headers()
			.forEach((field) -> headers.merge(field.getKey().toLowerCase(Locale.ROOT), field.getValue(),
					(first, second) -> first + ", " + second));
		return new KeyedRequest(this.key, this.request.scheduling().fingerprint(), this.request.durable(),
				this.request.method(), this.request.pathAndQuery(), headers, this.request.body(),
				this.request.scheduling(), this.request.scheduling().deadline());
	}

}
