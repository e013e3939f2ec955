package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

import org.sardineport.core.port.backend.AnswerListener;
import org.sardineport.core.port.backend.BackendException;

/**
 * One exchange of a run with a backend server. Hands what it hears to the run, on the
 * run's executor, until the run has let go of it: late events of an exchange that was
 * given up change nothing.
 */
final class RunAttempt implements AnswerListener {

	private final RequestRun run;

	private final SerialExecutor executor;

	private final boolean resumed;

	RunAttempt(RequestRun run, SerialExecutor executor, boolean resumed) {
		this.run = run;
		this.executor = executor;
		this.resumed = resumed;
	}

	/**
	 * Returns whether the exchange goes on with a stream that was dispatched before.
	 * @return whether bytes of the request were sent by an earlier exchange
	 */
	boolean isResumed() {
		return this.resumed;
	}

	@Override
	public void head(int status, List<Map.Entry<String, String>> headers) {
		whileCurrent(() -> this.run.onHead(status, headers));
	}

	@Override
	public void chunk(ByteBuffer bytes) {
		ByteBuffer copy = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
		whileCurrent(() -> this.run.onChunk(copy));
	}

	@Override
	public void end() {
		whileCurrent(this.run::onEnd);
	}

	@Override
	public void failed(BackendException failure) {
		whileCurrent(() -> this.run.onFailed(this, failure));
	}

	private void whileCurrent(Runnable step) {
		this.executor.execute(() -> {
			if (this.run.isCurrent(this)) {
				step.run();
			}
		});
	}

}
