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
 * Records an answer, and that it ends once.
 */
final class RecordingListener implements ResponseListener {

	private static final int PATIENCE_SECONDS = 20;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final CompletableFuture<String> ended = new CompletableFuture<>();

	private final CountDownLatch firstChunk = new CountDownLatch(1);

	private final AtomicInteger endings = new AtomicInteger();

	private final AtomicInteger late = new AtomicInteger();

	private volatile int status;

	@Override
	public void head(int answerStatus, List<Map.Entry<String, String>> headers) {
		this.late.addAndGet(this.endings.get());
		this.status = answerStatus;
	}

	@Override
	public synchronized void chunk(ByteBuffer bytes) {
		this.late.addAndGet(this.endings.get());
		byte[] copy = new byte[bytes.remaining()];
		bytes.get(copy);
		this.body.writeBytes(copy);
		this.firstChunk.countDown();
	}

	@Override
	public void end() {
		this.endings.incrementAndGet();
		this.ended.complete("whole");
	}

	@Override
	public void failed(BackendException failure) {
		this.endings.incrementAndGet();
		this.ended.complete(failure.failure().name());
	}

	/** Waits for the end: "whole" or the name of the failure. */
	String ending() throws Exception {
		return this.ended.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
	}

	BackendFailure failure() throws Exception {
		return BackendFailure.valueOf(ending());
	}

	void awaitFirstChunk() throws InterruptedException {
		if (!this.firstChunk.await(PATIENCE_SECONDS, TimeUnit.SECONDS)) {
			throw new IllegalStateException("no chunk came");
		}
	}

	int endings() {
		return this.endings.get();
	}

	int eventsAfterTheEnd() {
		return this.late.get();
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
