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
import org.sardineport.core.journal.StoredResponse;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Relays the response of a backend server to the caller while measuring and recording it.
 * The caller receives a single response head, even if the stream migrates to another
 * backend server. Used on the run's executor only.
 */
final class ResponseRelay {

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private final SchedulingRequest scheduling;

	private final ResponseSink sink;

	private final Telemetry telemetry;

	private final ResponseRecorder recorder;

	private @Nullable RunMeter meter;

	private @Nullable RunVerdict rejection;

	private boolean headHandled;

	private boolean firstByteRelayed;

	ResponseRelay(SchedulingRequest scheduling, ResponseSink sink, Telemetry telemetry, int maxResponseBytes) {
		this.scheduling = scheduling;
		this.sink = sink;
		this.telemetry = telemetry;
		this.recorder = new ResponseRecorder(maxResponseBytes);
	}

	/**
	 * Starts measuring an exchange in place of the previous one.
	 * @param newMeter meter of the new exchange
	 */
	void startMeter(RunMeter newMeter) {
		this.meter = newMeter;
	}

	/**
	 * Relays the response head unless one was handled before. A server error (status 500
	 * or higher) is replaced by a refusal.
	 * @param status status code
	 * @param fields header fields in order
	 */
	void head(int status, List<Map.Entry<String, String>> fields) {
		if (this.headHandled) {
			return;
		}
		this.headHandled = true;
		if (status >= MIN_SERVER_ERROR_STATUS) {
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
	 * Relays a part of the body. Parts that follow a rejected head are dropped.
	 * @param bytes the bytes
	 * @param now the current time
	 * @return {@code false} if the caller is slower than the backend server, so that the
	 * exchange should pause
	 */
	boolean chunk(ByteBuffer bytes, Instant now) {
		if (this.meter == null || this.rejection != null) {
			return true;
		}
		this.meter.chunk(bytes, now);
		if (!this.firstByteRelayed) {
			this.firstByteRelayed = true;
			this.telemetry.timeToFirstByte(this.scheduling.tier())
				.update(Duration.between(this.scheduling.arrival(), now));
		}
		this.recorder.chunk(bytes);
		return this.sink.chunk(bytes);
	}

	/**
	 * Ends the caller's response as complete.
	 * @param now the current time
	 * @return the response to store, or {@code null} if it exceeds the limit
	 */
	@Nullable StoredResponse complete(Instant now) {
		this.telemetry.completed(this.scheduling.tier()).inc();
		this.telemetry.duration(this.scheduling.tier()).update(Duration.between(this.scheduling.arrival(), now));
		this.sink.end();
		return this.recorder.response();
	}

	/**
	 * Aborts the caller's response, and counts the prompt tokens processed for it as
	 * wasted.
	 * @param verdict provides the refusal to send, unless one was sent for a server error
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
	 * Returns the verdict on a server error that was received in place of a response.
	 * @return the verdict, or {@code null} if the backend server reported no server error
	 */
	@Nullable RunVerdict rejection() {
		return this.rejection;
	}

	RunMeasurement measurement(RunEnd end, Instant now) {
		return (this.meter != null) ? this.meter.measurement(end, now) : RunMeasurement.none(end);
	}

}
