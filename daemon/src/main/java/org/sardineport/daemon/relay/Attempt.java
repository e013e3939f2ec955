package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.relay.AnswerHead;
import org.sardineport.core.relay.AttemptEnd;
import org.sardineport.core.request.TokenEstimate;

/**
 * One attempt of one request at one backend server: checks that what comes is an answer
 * to this request, holds small answers until they are whole, and cuts streams at the ends
 * of events. Confined to the event loop.
 */
final class Attempt implements BackendCallListener {

	/** Largest answer that is held until it is whole. */
	private static final int MOST_HELD_BYTES = 512 * 1024;

	/** Time by which a kept connection is given up before the backend server does. */
	private static final Duration IDLE_MARGIN = Duration.ofSeconds(1);

	/** Time for which a connection is kept if the backend server names none. */
	private static final Duration DEFAULT_IDLE = Duration.ofSeconds(2);

	private final Vertx vertx;

	private final InstantSource clock;

	private final AttemptPlan plan;

	private final BackendCall call;

	private final AttemptListener listener;

	private final EventSplitter events;

	private Buffer held = Buffer.buffer();

	private @Nullable AnswerHead head;

	private @Nullable MultiMap headers;

	private boolean passing;

	private boolean over;

	private long silenceTimer = -1;

	private long startedAt;

	private @Nullable Duration toFirstPart;

	Attempt(RelayServices services, AttemptPlan plan, AttemptListener listener) {
		this.vertx = services.vertx();
		this.clock = services.clock();
		this.plan = plan;
		this.listener = listener;
		this.call = new BackendCall(services.connections(), plan.server(), this);
		this.events = new EventSplitter(plan.lastEvent());
	}

	void start() {
		this.startedAt = this.clock.millis();
		watch(this.plan.firstPatience());
		this.call.send(this.plan.method(), this.plan.target(), this.plan.headers(), this.plan.body(),
				this.plan.longestIdle());
	}

	/**
	 * Gives the attempt up. The listener hears nothing more.
	 */
	void abort() {
		finish();
		this.call.abort();
	}

	void pause() {
		this.vertx.cancelTimer(this.silenceTimer);
		this.call.pause();
	}

	void resume() {
		this.call.resume();
		watch(this.plan.gapPatience());
	}

	/**
	 * Returns whether nothing has come for some time since the request was sent.
	 * @param time the time
	 * @return whether the backend server is silent
	 */
	boolean isSilentFor(Duration time) {
		return this.toFirstPart == null && this.clock.millis() - this.startedAt >= time.toMillis();
	}

	long lastEvent() {
		return this.events.lastId();
	}

	RunMeasurement measurement(RunEnd end) {
		TokenEstimate estimate = this.plan.estimate();
		int answerTokens = this.events.events() * this.plan.tokensPerEvent();
		return new RunMeasurement(end, estimate.prompt(), RunMeasurement.CACHE_NOT_REPORTED, answerTokens,
				this.toFirstPart, Duration.ofMillis(this.clock.millis() - this.startedAt));
	}

	private void watch(@Nullable Duration patience) {
		this.vertx.cancelTimer(this.silenceTimer);
		if (patience != null && !this.over) {
			this.silenceTimer = this.vertx.setTimer(Math.max(1, patience.toMillis()),
					(id) -> fail(AttemptEnd.SILENT, "nothing came for " + patience.toMillis() + " ms"));
		}
	}

	@Override
	public void notConnected(String cause) {
		fail(AttemptEnd.NOT_CONNECTED, cause);
	}

	@Override
	public void head(int status, MultiMap received) {
		if (this.over) {
			return;
		}
		AnswerHead read = this.plan.protocol().readAnswer(status, received);
		this.head = read;
		this.headers = received;
		if (!this.plan.requestId().equals(read.requestId())) {
			fail(AttemptEnd.INVALID, "the answer is to request " + read.requestId());
		}
		else if (read.notExecuted()) {
			fail(AttemptEnd.NOT_EXECUTED, "status " + status);
		}
		else if (!read.isIntact()) {
			fail(AttemptEnd.INVALID, "the answer with status " + status + " is not signed, or encoded");
		}
		else if (this.plan.isResumed() && !(read.isSuccess() && read.events())) {
			fail(AttemptEnd.FAILED, "status " + status + " in place of the rest of a stream");
		}
	}

	@Override
	public void data(Buffer bytes) {
		AnswerHead read = this.head;
		if (this.over || read == null) {
			return;
		}
		if (isStream(read)) {
			passEvents(read, bytes);
		}
		else if (this.passing) {
			this.listener.part(bytes);
		}
		else {
			hold(read, bytes);
		}
	}

	private static boolean isStream(AnswerHead read) {
		return read.events() && read.isSuccess();
	}

	private void passEvents(AnswerHead read, Buffer bytes) {
		watch(this.plan.gapPatience());
		Buffer complete = this.events.add(bytes);
		if (complete.length() > 0) {
			begin(read);
			this.listener.part(complete);
		}
		if (this.events.isTooLong()) {
			fail(AttemptEnd.INVALID, "an event of the stream has no end");
		}
	}

	private void hold(AnswerHead read, Buffer bytes) {
		noteFirstPart();
		this.held.appendBuffer(bytes);
		if (this.held.length() > MOST_HELD_BYTES) {
			begin(read);
			this.listener.part(this.held);
			this.held = Buffer.buffer();
		}
	}

	private void begin(AnswerHead read) {
		noteFirstPart();
		if (!this.passing && this.headers != null) {
			this.passing = true;
			this.listener.begin(read, this.headers);
		}
	}

	private void noteFirstPart() {
		if (this.toFirstPart == null) {
			this.toFirstPart = Duration.ofMillis(this.clock.millis() - this.startedAt);
		}
	}

	@Override
	public void end() {
		AnswerHead read = this.head;
		MultiMap received = this.headers;
		if (this.over || read == null || received == null) {
			return;
		}
		Buffer rest = isStream(read) ? this.events.rest() : this.held;
		boolean framed = received.contains("Content-Length") || received.contains("Transfer-Encoding");
		if (isStream(read) && !framed && rest.length() > 0) {
			fail(AttemptEnd.BROKEN, "the stream ended inside an event");
			return;
		}
		finish();
		this.call.keepConnection(framed ? idleTime(read, received) : Duration.ZERO);
		deliver(read, received, rest);
	}

	private void deliver(AnswerHead read, MultiMap received, Buffer rest) {
		if (!this.passing && !this.plan.isResumed()) {
			this.listener.whole(read, received, rest);
			return;
		}
		if (rest.length() > 0) {
			this.listener.part(rest);
		}
		this.listener.complete();
	}

	private static Duration idleTime(AnswerHead read, MultiMap received) {
		if (received.contains("Connection", "close", true)) {
			return Duration.ZERO;
		}
		Duration named = read.connectionIdle();
		Duration kept = (named != null) ? named.minus(IDLE_MARGIN) : DEFAULT_IDLE;
		return kept.isNegative() ? Duration.ZERO : kept;
	}

	@Override
	public void broken(String cause) {
		fail(AttemptEnd.BROKEN, cause);
	}

	private void fail(AttemptEnd end, String detail) {
		if (!this.over) {
			finish();
			this.call.abort();
			this.listener.ended(end, detail);
		}
	}

	private void finish() {
		this.over = true;
		this.vertx.cancelTimer(this.silenceTimer);
	}

}
