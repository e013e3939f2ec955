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
 * Gathers the answer to a control call.
 */
final class WholeAnswer implements ResponseListener {

	private static final int STATUS_CONFLICT = 409;

	private static final int FIRST_FAILURE_STATUS = 300;

	private final CompletableFuture<byte[]> body = new CompletableFuture<>();

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private final BackendServer server;

	private int status;

	WholeAnswer(BackendServer server) {
		this.server = server;
	}

	CompletionStage<byte[]> body() {
		return this.body;
	}

	@Override
	public void head(int answerStatus, List<Map.Entry<String, String>> headers) {
		this.status = answerStatus;
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
					"%s has seen a newer fencing number".formatted(this.server.id())));
		}
		else if (this.status >= FIRST_FAILURE_STATUS) {
			this.body.completeExceptionally(BackendException.of(BackendFailure.NOT_SUPPORTED,
					"%s answered with status %d".formatted(this.server.id(), this.status)));
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
