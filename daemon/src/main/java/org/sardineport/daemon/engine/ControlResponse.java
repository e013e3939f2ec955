package org.sardineport.daemon.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.ResponseListener;

/**
 * Collects the complete response to a control request. Status 409 is reported as
 * {@link BackendFailure#FENCED}, any other status of 300 or above as
 * {@link BackendFailure#NOT_SUPPORTED}.
 */
final class ControlResponse implements ResponseListener {

	private static final int STATUS_CONFLICT = 409;

	private static final int MIN_FAILURE_STATUS = 300;

	private final CompletableFuture<byte[]> body = new CompletableFuture<>();

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private final BackendServer server;

	private int status;

	ControlResponse(BackendServer server) {
		this.server = server;
	}

	CompletionStage<byte[]> body() {
		return this.body;
	}

	@Override
	public void head(int responseStatus, List<Map.Entry<String, String>> headers) {
		this.status = responseStatus;
	}

	@Override
	public void chunk(ByteBuffer chunk) {
		byte[] copy = new byte[chunk.remaining()];
		chunk.get(copy);
		this.bytes.writeBytes(copy);
	}

	@Override
	public void end() {
		if (this.status == STATUS_CONFLICT) {
			this.body.completeExceptionally(BackendException.of(BackendFailure.FENCED,
					"%s rejected the fencing number: it has accepted a newer one".formatted(this.server.id())));
		}
		else if (this.status >= MIN_FAILURE_STATUS) {
			this.body.completeExceptionally(BackendException.of(BackendFailure.NOT_SUPPORTED,
					"%s responded with status %d, expected a status below 300".formatted(this.server.id(),
							this.status)));
		}
		else {
			this.body.complete(this.bytes.toByteArray());
		}
	}

	@Override
	public void failed(BackendException failure) {
		this.body.completeExceptionally(failure);
	}

}
