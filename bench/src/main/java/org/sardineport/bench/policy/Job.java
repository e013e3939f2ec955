package org.sardineport.bench.policy;

import java.time.Duration;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;

/**
 * State of one request in a simulation run, including its true length, which the policies
 * do not know. Not thread-safe.
 */
final class Job {

	private final RequestClass kind;

	private final SchedulingRequest request;

	private final int entry;

	private final double deadline;

	private final int answerTokens;

	private final double callMillis;

	private @Nullable FakeServer server;

	private Runnable onCompleted = () -> {
	};

	private double dispatchedAt;

	private double firstTokenAt = -1;

	private int cachedTokens;

	private int prefilledTokens;

	private int generatedTokens;

	private boolean ended;

	Job(RequestClass kind, SchedulingRequest request, int entry, double deadline, int answerTokens, double callMillis) {
		this.kind = kind;
		this.request = request;
		this.entry = entry;
		this.deadline = deadline;
		this.answerTokens = answerTokens;
		this.callMillis = callMillis;
	}

	RequestClass kind() {
		return this.kind;
	}

	SchedulingRequest request() {
		return this.request;
	}

	int entry() {
		return this.entry;
	}

	double deadline() {
		return this.deadline;
	}

	int answerTokens() {
		return this.answerTokens;
	}

	double callMillis() {
		return this.callMillis;
	}

	@Nullable FakeServer server() {
		return this.server;
	}

	void dispatch(FakeServer newServer, double now, Runnable completed) {
		if (this.server != null) {
			throw new IllegalStateException("request " + this.request.id() + " was dispatched twice");
		}
		this.server = newServer;
		this.dispatchedAt = now;
		this.onCompleted = completed;
	}

	void setCachedTokens(int tokens) {
		this.cachedTokens = tokens;
	}

	int promptTokensLeft() {
		return this.request.estimate().prompt() - this.cachedTokens - this.prefilledTokens;
	}

	void prefill(int tokens) {
		this.prefilledTokens += tokens;
	}

	int cachedTokens() {
		return this.cachedTokens;
	}

	int prefilledTokens() {
		return this.prefilledTokens;
	}

	void generateToken(double now) {
		if (this.generatedTokens == 0) {
			this.firstTokenAt = now;
		}
		this.generatedTokens++;
	}

	boolean isComplete() {
		return this.generatedTokens >= this.answerTokens;
	}

	void completed() {
		if (!this.ended) {
			this.onCompleted.run();
		}
	}

	/**
	 * Marks the request as ended.
	 * @return whether it had not ended before
	 */
	boolean end() {
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

	boolean isEnded() {
		return this.ended;
	}

	RunMeasurement measurement(RunEnd end, double now) {
		Duration first = (this.firstTokenAt >= 0) ? duration(this.firstTokenAt - this.dispatchedAt) : null;
		return new RunMeasurement(end, this.request.estimate().prompt(), this.cachedTokens, this.generatedTokens, first,
				duration(now - this.dispatchedAt));
	}

	private static Duration duration(double millis) {
		return Duration.ofNanos((long) (millis * 1e6));
	}

}
