package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.RequestScheduler;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.capacity.StatedLoad;
import org.sardineport.core.exchange.ContentEnd;
import org.sardineport.core.exchange.ResponseEnd;
import org.sardineport.core.exchange.ResponseFraming;
import org.sardineport.core.limit.StatedLimits;
import org.sardineport.core.overload.ReadPasses;
import org.sardineport.core.relay.AttemptEnd;
import org.sardineport.core.relay.CallerMemory;
import org.sardineport.core.relay.ResponseHead;
import org.sardineport.core.request.TokenEstimate;

/**
 * One attempt to run a request on a backend server: checks that the response belongs to
 * the request, buffers small responses until they are complete, and splits event streams
 * at event boundaries. Confined to the event loop.
 */
final class Attempt implements BackendCallListener {

	/** Memory of a buffered response in its lengths, as its buffer doubles. */
	private static final long BUFFER_GROWTH = 2;

	/**
	 * Time before the backend server's idle timeout at which a connection is no longer
	 * reused.
	 */
	private static final Duration IDLE_MARGIN = Duration.ofSeconds(1);

	/**
	 * Time for which a connection is kept if the backend server sends no idle timeout.
	 */
	private static final Duration DEFAULT_IDLE_TIME = Duration.ofSeconds(2);

	private final InstantSource clock;

	private final CallerMemory memory;

	private final StatedLimitsRecorder statedLimits;

	private final RequestScheduler scheduler;

	private final BackendNotices notices;

	private final BackendConnections connections;

	private final ProcessLiveness liveness;

	private final LoopPasses passes;

	private final AttemptPlan plan;

	private final BackendCall call;

	private final AttemptListener listener;

	private final ResponseHeadCheck headCheck;

	private final EventSplitter splitter;

	private final SilenceWatch silenceWatch;

	private Buffer buffered = Buffer.buffer();

	/** Memory reserved for the buffered response. */
	private long reserved;

	private @Nullable ResponseHead head;

	private @Nullable MultiMap headers;

	private @Nullable ResponseFraming framing;

	private boolean forwarding;

	private int statedRequests = RunMeasurement.NOT_STATED;

	private boolean ended;

	private long lastEventId;

	private boolean continuable = true;

	private boolean streamStarted;

	/** Whole events that wait until they may be passed on. */
	private @Nullable Buffer heldEvents;

	private long startedAtMillis;

	private @Nullable Duration timeToFirstData;

	/** When the response ended, which may be before that is judged. */
	private long endedAtMillis = -1;

	Attempt(RelayServices services, AttemptPlan plan, AttemptListener listener) {
		this.clock = services.clock();
		this.memory = services.callerMemory();
		this.statedLimits = services.statedLimits();
		this.scheduler = services.scheduler();
		this.notices = services.notices();
		this.connections = services.connections();
		this.liveness = services.liveness();
		this.passes = services.passes();
		this.plan = plan;
		this.listener = listener;
		this.call = new BackendCall(services.connections(), plan.server(), this);
		this.headCheck = new ResponseHeadCheck(plan);
		this.splitter = new EventSplitter(plan.lastEventId());
		this.silenceWatch = new SilenceWatch(services, plan, this::checkPath, () -> listener.silent(this));
		this.lastEventId = plan.lastEventId();
	}

	void start() {
		this.startedAtMillis = this.clock.millis();
		this.silenceWatch.start();
		this.call.send(this.plan.method(), this.plan.target(), this.plan.headers(), this.plan.body(),
				this.plan.maxConnectionIdle());
	}

	/**
	 * Aborts the attempt. The listener is not called any more.
	 */
	void abort() {
		finish();
		this.call.abort();
	}

	void pause() {
		this.silenceWatch.pause();
		this.call.pause();
	}

	void resume() {
		if (!this.ended) {
			this.silenceWatch.resume();
		}
		this.call.resume();
	}

	/**
	 * Returns whether the backend server has sent nothing for the timeout of the plan.
	 * @return whether the last report to the listener was that it is silent
	 */
	boolean isSilent() {
		return this.silenceWatch.isSilent();
	}

	/**
	 * Returns the time since data was last received, or since the start before any.
	 * @return the time; zero while the attempt is paused
	 */
	Duration silence() {
		return this.silenceWatch.silence();
	}

	/**
	 * Returns the connection to the backend server.
	 * @return the connection, or {@code null} before one was acquired
	 */
	@Nullable BackendConnection connection() {
		return this.call.connection();
	}

	/**
	 * Returns the identity of the last event that was passed on.
	 * @return the identity, or that of the plan before any
	 */
	long lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns whether another attempt can continue what was passed on.
	 * @return {@code false} if no identity names the last event, or the response is no
	 * stream and a part of it was passed on
	 */
	boolean isContinuable() {
		return this.continuable;
	}

	/**
	 * Returns whether the head of a response was received.
	 * @return {@code true} from then on, whatever becomes of the response
	 */
	boolean isHeadReceived() {
		return this.head != null;
	}

	/**
	 * Returns how many whole events of a stream were received.
	 * @return the number, including those that are not passed on yet
	 */
	int eventCount() {
		return this.splitter.eventCount();
	}

	/**
	 * Returns whether the backend server has sent an event that is new to the caller, or
	 * a part of one.
	 * @return whether the stream does not end before this attempt
	 */
	boolean hasRest() {
		return this.splitter.eventCount() > 0 || this.splitter.isInsideEvent();
	}

	/**
	 * Returns what was observed of the response so far.
	 * @return the observations
	 */
	ResponseTrace trace() {
		BackendConnection connection = connection();
		return new ResponseTrace(this.framing, this.splitter.eventCount(), this.lastEventId, this.splitter.idSkips(),
				this.splitter.remaining().length(), (connection != null) ? connection.state() : null);
	}

	/**
	 * Returns the time since the attempt was started.
	 * @return the time
	 */
	Duration age() {
		return Duration.ofMillis(this.clock.millis() - this.startedAtMillis);
	}

	RunMeasurement measurement(RunEnd end) {
		TokenEstimate estimate = this.plan.estimate();
		int responseTokens = this.splitter.eventCount() * this.plan.tokensPerEvent();
		return new RunMeasurement(end, estimate.prompt(), RunMeasurement.CACHE_NOT_REPORTED, responseTokens,
				this.timeToFirstData, Duration.ofMillis(endMillis() - this.startedAtMillis), this.statedRequests);
	}

	private long endMillis() {
		return (this.endedAtMillis >= 0) ? this.endedAtMillis : this.clock.millis();
	}

	private void checkPath() {
		if (connection() != null) {
			this.connections.checkPath(this.plan.server());
		}
	}

	// The connection may have taken long to open, so that the caller may have left since.
	@Override
	public void connected(Runnable send) {
		this.plan.stages().ended(RequestStage.CONNECT);
		this.passes.afterRecentPass(ReadPasses.BEFORE_ALL_TURNS, () -> {
			this.plan.stages().ended(RequestStage.SEND);
			send.run();
		});
	}

	@Override
	public boolean maySend() {
		return this.clock.instant().isBefore(this.plan.latestSend());
	}

	@Override
	public void notConnected(String cause) {
		fail(AttemptEnd.NOT_CONNECTED, cause);
	}

	@Override
	public void headReceived(int status, MultiMap responseHeaders) {
		if (this.ended) {
			return;
		}
		this.plan.stages().ended(RequestStage.BACKEND);
		ResponseHead responseHead = this.plan.protocol().readResponseHead(status, responseHeaders);
		this.head = responseHead;
		this.headers = responseHeaders;
		this.framing = ResponseFraming.of(this.plan.method(), responseHead.status(),
				responseHeaders.contains("Transfer-Encoding"), responseHeaders.contains("Content-Length"));
		recordStatedLimits(responseHead);
		recordStatedLoad(responseHead);
		this.notices.received(this.plan.server(), responseHead);
		AttemptFailure failure = this.headCheck.check(responseHead, responseHeaders, mayContinueStream(responseHead));
		if (failure != null) {
			fail(failure.end(), failure.detail());
		}
		else {
			observeProcess();
		}
	}

	private void observeProcess() {
		BackendConnection connection = connection();
		if (connection != null && isEndedByClose()) {
			this.liveness.observe(this.plan.server(), connection);
		}
	}

	private boolean mayContinueStream(ResponseHead responseHead) {
		return isStream(responseHead) && this.framing != ResponseFraming.NO_BODY;
	}

	// A late response to another request may be older than what is known.
	private void recordStatedLimits(ResponseHead responseHead) {
		StatedLimits stated = responseHead.statedLimits();
		if (stated != null && responseHead.isFromServerAsked() && this.headCheck.isAnswer(responseHead)) {
			this.statedLimits.record(this.plan.permit(), stated, this.plan.requestId());
		}
	}

	private void recordStatedLoad(ResponseHead responseHead) {
		StatedLoad load = responseHead.statedLoad();
		if (load != null && responseHead.isFromServerAsked() && this.headCheck.isAnswer(responseHead)) {
			this.statedRequests = load.running() + load.waiting();
			this.scheduler.recordStatedLoad(this.plan.server().process(), load);
		}
	}

	@Override
	public void dataReceived(Buffer bytes) {
		ResponseHead responseHead = this.head;
		if (this.ended || responseHead == null) {
			return;
		}
		this.silenceWatch.dataReceived();
		observeProcess();
		if (isStream(responseHead)) {
			forwardEvents(responseHead, bytes);
		}
		else if (this.forwarding) {
			this.listener.dataReceived(this, bytes);
		}
		else {
			bufferData(responseHead, bytes);
		}
	}

	private static boolean isStream(ResponseHead responseHead) {
		return responseHead.eventStream() && responseHead.isSuccess();
	}

	private void forwardEvents(ResponseHead responseHead, Buffer bytes) {
		if (!this.streamStarted) {
			this.streamStarted = true;
			this.listener.streamStarted(this);
		}
		boolean first = this.splitter.eventCount() == 0;
		Buffer complete = this.splitter.add(bytes);
		if (first && this.splitter.eventCount() > 0) {
			this.listener.firstEventReceived(this);
		}
		if (complete.length() > 0) {
			forwardOrHold(responseHead, complete);
		}
		if (this.splitter.isTooLong()) {
			fail(AttemptEnd.INVALID, "an event of the stream has no end");
		}
	}

	private void forwardOrHold(ResponseHead responseHead, Buffer events) {
		recordFirstData();
		if (this.forwarding || this.listener.mayForward(this)) {
			forward(responseHead, events);
		}
		else {
			this.heldEvents = events;
			pause();
		}
	}

	private void forward(ResponseHead responseHead, Buffer events) {
		startForwarding(responseHead);
		this.lastEventId = this.splitter.lastId();
		this.continuable = this.splitter.isLastNamed();
		this.listener.dataReceived(this, events);
	}

	/**
	 * Passes the held events on and reads on. Has no effect if the attempt holds none.
	 */
	void forwardHeldEvents() {
		Buffer events = this.heldEvents;
		ResponseHead responseHead = this.head;
		if (this.ended || events == null || responseHead == null) {
			return;
		}
		this.heldEvents = null;
		this.silenceWatch.resume();
		forward(responseHead, events);
		if (!this.ended && !this.silenceWatch.isPaused()) {
			this.call.resume();
		}
	}

	private void bufferData(ResponseHead responseHead, Buffer bytes) {
		recordFirstData();
		this.buffered.appendBuffer(bytes);
		if (!tryReserveBuffered()) {
			this.continuable = false;
			startForwarding(responseHead);
			this.listener.dataReceived(this, this.buffered);
			this.buffered = Buffer.buffer();
			releaseBuffered();
		}
	}

	private boolean tryReserveBuffered() {
		if (this.buffered.length() <= this.reserved) {
			return true;
		}
		long needed = BUFFER_GROWTH * this.buffered.length();
		if (!this.memory.tryReserveResponse(this.reserved, needed)) {
			return false;
		}
		this.reserved = needed;
		return true;
	}

	private void releaseBuffered() {
		this.memory.release(this.reserved);
		this.reserved = 0;
	}

	private void startForwarding(ResponseHead responseHead) {
		recordFirstData();
		if (!this.forwarding && this.headers != null) {
			this.forwarding = true;
			this.listener.responseStarted(this, responseHead, this.headers);
		}
	}

	private void recordFirstData() {
		if (this.timeToFirstData == null) {
			this.timeToFirstData = Duration.ofMillis(this.clock.millis() - this.startedAtMillis);
		}
	}

	@Override
	public void responseCompleted() {
		if (this.ended) {
			return;
		}
		ResponseHead responseHead = this.head;
		BackendConnection connection = connection();
		if (responseHead == null || connection == null || !isEndedByClose()) {
			judge(ResponseEnd.STATED);
			return;
		}
		this.silenceWatch.stop();
		this.endedAtMillis = this.clock.millis();
		this.liveness.endOf(this.plan.server(), connection).onSuccess(this::judge);
	}

	private void judge(ResponseEnd end) {
		ResponseHead responseHead = this.head;
		MultiMap responseHeaders = this.headers;
		if (this.ended || responseHead == null || responseHeaders == null) {
			return;
		}
		ContentEnd content = contentEnd(responseHead);
		switch (end.judge(content)) {
			case COMPLETE -> complete(responseHead, responseHeaders);
			case UNCONFIRMED -> fail(AttemptEnd.UNCONFIRMED, "the stream may be whole");
			case INCOMPLETE ->
				fail(endOfAttempt(end, content), "the response ended by %s, %s".formatted(end.label(), content));
		}
	}

	private AttemptEnd endOfAttempt(ResponseEnd end, ContentEnd content) {
		if (end == ResponseEnd.STATED) {
			return AttemptEnd.INVALID;
		}
		boolean nothingMore = end == ResponseEnd.CLOSED_BY_LIVE_PROCESS && content == ContentEnd.BEFORE_FIRST_EVENT
				&& this.plan.isResumed();
		return nothingMore ? AttemptEnd.NOTHING_MORE : AttemptEnd.BROKEN;
	}

	private ContentEnd contentEnd(ResponseHead responseHead) {
		if (!isStream(responseHead)) {
			return ContentEnd.OPAQUE;
		}
		if (this.splitter.isInsideEvent()) {
			return ContentEnd.INSIDE_EVENT;
		}
		return (this.splitter.eventCount() > 0) ? ContentEnd.AFTER_EVENT : ContentEnd.BEFORE_FIRST_EVENT;
	}

	private void complete(ResponseHead responseHead, MultiMap responseHeaders) {
		Buffer remaining = isStream(responseHead) ? this.splitter.remaining() : this.buffered;
		finish();
		this.call.keepConnection(isEndedByClose() ? Duration.ZERO : idleTime(responseHead, responseHeaders));
		deliver(responseHead, responseHeaders, remaining);
	}

	/**
	 * Returns whether another daemon carries the connection.
	 * @return {@code false} before a connection was acquired
	 */
	boolean isCarried() {
		BackendConnection connection = connection();
		return connection != null && connection.helper() != null;
	}

	/**
	 * Returns whether the response has neither a length nor chunks, so that only the end
	 * of its connection ends it.
	 * @return {@code false} before the head was received
	 */
	boolean isEndedByClose() {
		return this.framing == ResponseFraming.UNTIL_CLOSE;
	}

	/**
	 * Returns whether the response is a success.
	 * @return {@code false} before the head was received
	 */
	boolean isSuccess() {
		return this.head != null && this.head.isSuccess();
	}

	private void deliver(ResponseHead responseHead, MultiMap responseHeaders, Buffer remaining) {
		if (!this.forwarding && !this.plan.isResumed()) {
			this.listener.responseReceived(this, responseHead, responseHeaders, remaining);
			return;
		}
		if (remaining.length() > 0) {
			this.listener.dataReceived(this, remaining);
		}
		this.listener.responseCompleted(this);
	}

	private static Duration idleTime(ResponseHead responseHead, MultiMap responseHeaders) {
		if (responseHeaders.contains("Connection", "close", true)) {
			return Duration.ZERO;
		}
		Duration announced = responseHead.keepAliveTimeout();
		Duration idleTime = (announced != null) ? announced.minus(IDLE_MARGIN) : DEFAULT_IDLE_TIME;
		return idleTime.isNegative() ? Duration.ZERO : idleTime;
	}

	@Override
	public void connectionBroke(String cause) {
		fail(this.silenceWatch.isUnread() ? AttemptEnd.CLOSED_UNREAD : AttemptEnd.BROKEN, cause);
	}

	@Override
	public void responseMalformed(String cause) {
		fail(AttemptEnd.INVALID, cause);
	}

	private void fail(AttemptEnd end, String detail) {
		if (!this.ended) {
			this.plan.stages().ended(unfinishedStage(end));
			finish();
			this.call.abort();
			this.listener.failed(this, end, detail);
		}
	}

	private RequestStage unfinishedStage(AttemptEnd end) {
		if (end == AttemptEnd.NOT_CONNECTED) {
			return RequestStage.CONNECT;
		}
		return (this.head != null) ? RequestStage.RESPONSE : RequestStage.BACKEND;
	}

	private void finish() {
		this.ended = true;
		releaseBuffered();
		this.silenceWatch.stop();
	}

}
