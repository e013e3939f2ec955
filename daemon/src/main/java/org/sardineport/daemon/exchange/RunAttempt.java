package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.ResponseListener;

/**
 * One exchange of a run with a backend server. Passes its events to the run, on the run's
 * executor, as long as it is the current exchange of the run. Late events of an abandoned
 * exchange are ignored.
 */
final class RunAttempt implements ResponseListener {

	private final RequestRun run;

	private final SerialExecutor executor;

	private final boolean resumed;

	RunAttempt(RequestRun run, SerialExecutor executor, boolean resumed) {
		this.run = run;
		this.executor = executor;
		this.resumed = resumed;
	}

	/**
	 * Returns whether the exchange resumes a stream that was dispatched earlier.
	 * @return {@code true} if an earlier exchange sent bytes of the request
	 */
	boolean isResumed() {
		return this.resumed;
	}

	@Override
	public void head(int status, List<Map.Entry<String, String>> headers) {
		ifCurrent(() -> this.run.onHead(status, headers));
	}

	@Override
	public void chunk(ByteBuffer bytes) {
		ByteBuffer copy = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
		ifCurrent(() -> this.run.onChunk(copy));
	}

	@Override
	public void end() {
		ifCurrent(this.run::onEnd);
	}

	@Override
	public void failed(BackendException failure) {
		ifCurrent(() -> this.run.onFailed(this, failure));
	}

	private void ifCurrent(Runnable step) {
		this.executor.execute(() -> {
			if (this.run.isCurrent(this)) {
				step.run();
			}
		});
	}

}
