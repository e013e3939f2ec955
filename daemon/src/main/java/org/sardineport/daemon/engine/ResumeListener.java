package org.sardineport.daemon.engine;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.ResponseListener;

/**
 * Forwards the response to a request that resumes a stream. Any status other than 200
 * means that the engine can't resume the stream and is reported as
 * {@link BackendFailure#NOT_SUPPORTED}.
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
	public void head(int responseStatus, List<Map.Entry<String, String>> headers) {
		this.status = responseStatus;
		if (responseStatus == STATUS_OK) {
			this.listener.head(responseStatus, headers);
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
					"%s did not resume the stream: got status %d, expected 200".formatted(this.server.id(),
							this.status)));
		}
	}

	@Override
	public void failed(BackendException failure) {
		this.listener.failed(failure);
	}

}
