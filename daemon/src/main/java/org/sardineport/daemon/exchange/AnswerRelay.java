package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.exchange.HeaderNames;
import org.sardineport.core.exchange.RunVerdict;
import org.sardineport.core.journal.StoredAnswer;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Passes the answer of a backend server on to its caller, and measures and records it on
 * the way. The answer has one head, also when its stream moves to another backend server.
 * Touched on the run's executor only.
 */
final class AnswerRelay {

	private static final int FIRST_SERVER_ERROR = 500;

	private final SchedulingRequest scheduling;

	private final AnswerSink sink;

	private final Telemetry telemetry;

	private final AnswerRecorder recorder;

	private @Nullable RunMeter meter;

	private @Nullable RunVerdict rejection;

	private boolean headPassed;

	private boolean firstBytePassed;

	AnswerRelay(SchedulingRequest scheduling, AnswerSink sink, Telemetry telemetry, int maximumAnswerBytes) {
		this.scheduling = scheduling;
		this.sink = sink;
		this.telemetry = telemetry;
		this.recorder = new AnswerRecorder(maximumAnswerBytes);
	}

	/**
	 * Begins to measure an exchange.
	 * @param newMeter measures it
	 */
	void begin(RunMeter newMeter) {
		this.meter = newMeter;
	}

	/**
	 * Passes the head on. A server error becomes a refusal in its place.
	 * @param status status code
	 * @param fields header fields in order
	 */
	void head(int status, List<Map.Entry<String, String>> fields) {
		if (this.headPassed) {
			return;
		}
		this.headPassed = true;
		if (status >= FIRST_SERVER_ERROR) {
			RunVerdict rejected = RunVerdict.rejected(status);
			this.rejection = rejected;
			this.sink.refuse(rejected.refusal());
			return;
		}
		List<Map.Entry<String, String>> headers = HeaderNames.forCaller(fields);
		this.recorder.head(status, headers);
		this.sink.head(status, headers);
	}

	/**
	 * Passes part of the body on.
	 * @param bytes the bytes
	 * @param now the current time
	 * @return whether the caller keeps up
	 */
	boolean chunk(ByteBuffer bytes, Instant now) {
		if (this.meter == null || this.rejection != null) {
			return true;
		}
		this.meter.chunk(bytes, now);
		if (!this.firstBytePassed) {
			this.firstBytePassed = true;
			this.telemetry.timeToFirstByte(this.scheduling.tier())
				.update(Duration.between(this.scheduling.arrival(), now));
		}
		this.recorder.chunk(bytes);
		return this.sink.chunk(bytes);
	}

	/**
	 * Ends the caller's answer as whole.
	 * @param now the current time
	 * @return the answer to keep, or {@code null} if it is larger than what is kept
	 */
	@Nullable StoredAnswer complete(Instant now) {
		this.telemetry.completed(this.scheduling.tier()).inc();
		this.telemetry.duration(this.scheduling.tier()).update(Duration.between(this.scheduling.arrival(), now));
		this.sink.end();
		return this.recorder.answer();
	}

	/**
	 * Ends the caller's answer as broken off. The prompt work done for it is wasted.
	 * @param verdict what to tell
	 */
	void fail(RunVerdict verdict) {
		if (this.meter != null) {
			this.telemetry.counter("prefill.wasted-tokens").inc(this.meter.promptTokens());
		}
		if (this.rejection == null) {
			this.sink.refuse(verdict.refusal());
		}
	}

	/**
	 * Returns the server error that stands for the answer.
	 * @return what it means, or {@code null} if there was none
	 */
	@Nullable RunVerdict rejection() {
		return this.rejection;
	}

	RunMeasurement measurement(RunEnd end, Instant now) {
		return (this.meter != null) ? this.meter.measurement(end, now) : RunMeasurement.none(end);
	}

}
