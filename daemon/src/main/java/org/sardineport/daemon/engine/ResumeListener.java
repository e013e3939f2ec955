package org.sardineport.daemon.engine;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.ResponseListener;

/**
 * Turns an engine's refusal to resume a stream into a failure.
 */
final class ResumeListener implements ResponseListener {

	private static final int STATUS_OK = 200;

	private final BackendServer server;

	private final ResponseListener listener;

	private int status;

	ResumeListener(BackendServer server, ResponseListener listener) {
		this.server = server;
		this.listener = listener;
	}

	@Override
	public void head(int answerStatus, List<Map.Entry<String, String>> headers) {
		this.status = answerStatus;
		if (answerStatus == STATUS_OK) {
			this.listener.head(answerStatus, headers);
		}
	}

	@Override
	public void chunk(ByteBuffer bytes) {
		if (this.status == STATUS_OK) {
			this.listener.chunk(bytes);
		}
	}

	@Override
	public void end() {
		if (this.status == STATUS_OK) {
			this.listener.end();
		}
		else {
			this.listener.failed(BackendException.of(BackendFailure.NOT_SUPPORTED,
					"%s does not resume the stream, status %d".formatted(this.server.id(), this.status)));
		}
	}

	@Override
	public void failed(BackendException failure) {
		this.listener.failed(failure);
	}

}
