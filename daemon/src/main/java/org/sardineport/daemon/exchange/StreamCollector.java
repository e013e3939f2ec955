package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.exchange.HeaderNames;
import org.sardineport.core.journal.DispatchedRun;
import org.sardineport.core.journal.StoredResponse;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.Exchange;
import org.sardineport.core.port.backend.ResponseListener;
import org.sardineport.core.request.Outcome;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * Collects the response of a run that a failed daemon had dispatched, from the first byte
 * on, and records the end of the run. State is accessed on one executor only.
 */
final class StreamCollector implements ResponseListener {

	private static final EventLog LOG = EventLog.of(StreamCollector.class);

	private final RunServices services;

	private final DispatchedRun run;

	private final SerialExecutor executor;

	private final ResponseRecorder recorder;

	private final Runnable onEnd;

	private Runnable cancelDeadline = () -> {
	};

	private boolean finished;

	StreamCollector(RunServices services, DispatchedRun run, SerialExecutor executor, Runnable onEnd) {
		this.services = services;
		this.run = run;
		this.executor = executor;
		this.recorder = new ResponseRecorder(services.maxResponseBytes());
		this.onEnd = onEnd;
	}

	void start(BackendServer server) {
		this.executor.execute(() -> {
			Exchange exchange = this.services.engines().resume(server, this.run.streamId(), 0, this);
			Duration remaining = Duration.between(this.services.clock().instant(), this.run.deadline());
			this.cancelDeadline = this.executor.schedule(remaining, exchange::cancel);
		});
	}

	@Override
	public void head(int status, List<Map.Entry<String, String>> headers) {
		this.executor.execute(() -> this.recorder.head(status, HeaderNames.forCaller(headers)));
	}

	@Override
	public void chunk(ByteBuffer bytes) {
		ByteBuffer copy = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
		this.executor.execute(() -> this.recorder.chunk(copy));
	}

	@Override
	public void end() {
		this.executor.execute(() -> finish(Outcome.COMPLETED, this.recorder.response()));
	}

	@Override
	public void failed(BackendException failure) {
		this.executor.execute(() -> {
			LOG.info("takeover.stream-lost", "stream", this.run.streamId(), "failure", failure.failure());
			finish(Outcome.UNKNOWN, null);
		});
	}

	private void finish(Outcome outcome, @Nullable StoredResponse answer) {
		if (!this.finished) {
			this.finished = true;
			this.cancelDeadline.run();
			this.services.journal().finish(this.run.claim(), outcome, answer);
			this.onEnd.run();
		}
	}

}
