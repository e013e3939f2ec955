package org.sardineport.daemon.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.ResponseListener;

/**
 * Records a response, the number of its ends, and events received after the end.
 */
final class RecordingListener implements ResponseListener {

	private static final int TIMEOUT_SECONDS = 20;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final CompletableFuture<String> outcome = new CompletableFuture<>();

	private final CountDownLatch firstChunk = new CountDownLatch(1);

	private final AtomicInteger endCount = new AtomicInteger();

	private final AtomicInteger eventsAfterEnd = new AtomicInteger();

	private volatile int status;

	@Override
	public void head(int responseStatus, List<Map.Entry<String, String>> headers) {
		this.eventsAfterEnd.addAndGet(this.endCount.get());
		this.status = responseStatus;
	}

	@Override
	public synchronized void chunk(ByteBuffer bytes) {
		this.eventsAfterEnd.addAndGet(this.endCount.get());
		byte[] copy = new byte[bytes.remaining()];
		bytes.get(copy);
		this.body.writeBytes(copy);
		this.firstChunk.countDown();
	}

	@Override
	public void end() {
		this.endCount.incrementAndGet();
		this.outcome.complete("whole");
	}

	@Override
	public void failed(BackendException failure) {
		this.endCount.incrementAndGet();
		this.outcome.complete(failure.failure().name());
	}

	/**
	 * Waits up to 20 s for the end of the response.
	 * @return "whole" if it is complete, else the name of the {@link BackendFailure}
	 */
	String awaitOutcome() throws Exception {
		return this.outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	BackendFailure awaitFailure() throws Exception {
		return BackendFailure.valueOf(awaitOutcome());
	}

	void awaitFirstChunk() throws InterruptedException {
		if (!this.firstChunk.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
			throw new IllegalStateException("no chunk received within the timeout");
		}
	}

	int endCount() {
		return this.endCount.get();
	}

	int eventsAfterEnd() {
		return this.eventsAfterEnd.get();
	}

	int status() {
		return this.status;
	}

	synchronized String body() {
		return this.body.toString(StandardCharsets.UTF_8);
	}

	synchronized int length() {
		return this.body.size();
	}

}
