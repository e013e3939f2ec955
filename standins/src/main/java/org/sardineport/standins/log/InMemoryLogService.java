package org.sardineport.standins.log;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.port.log.LogRecord;
import org.sardineport.core.port.log.LogService;
import org.sardineport.core.port.log.LogServiceException;
import org.sardineport.core.port.log.LogSlice;

/**
 * Fake log service in memory with fault injection. Thread-safe. Stages complete on the
 * thread of the call, on that of a later append, or on that of the runner.
 */
public final class InMemoryLogService implements LogService {

	private static final int MAXIMUM_RECORD_BYTES = 1024 * 1024;

	private static final Duration RATE_WINDOW = Duration.ofSeconds(1);

	private final InstantSource clock;

	private final DelayedRunner runner;

	private final LogFaults faults = LogFaults.create();

	private final Map<String, StoredStream> streams = new HashMap<>();

	private final Deque<Instant> recentAppends = new ArrayDeque<>();

	private final List<Runnable> lateAppends = new ArrayList<>();

	private final AtomicLong appendCount = new AtomicLong();

	private InMemoryLogService(InstantSource clock, DelayedRunner runner) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.runner = Objects.requireNonNull(runner, "runner must not be null");
	}

	/**
	 * Creates an empty service that uses the system clock.
	 * @return the service
	 */
	public static InMemoryLogService create() {
		return new InMemoryLogService(InstantSource.system(), DelayedRunner.system());
	}

	/**
	 * Creates an empty service.
	 * @param clock source of the time at which records are appended
	 * @param runner schedules delayed appends and responses
	 * @return the service
	 */
	public static InMemoryLogService create(InstantSource clock, DelayedRunner runner) {
		return new InMemoryLogService(clock, runner);
	}

	/**
	 * Returns the fault injection of the service.
	 * @return the faults, which can be changed at any time
	 */
	public LogFaults faults() {
		return this.faults;
	}

	/**
	 * Returns the number of records appended so far, over all streams.
	 * @return the number, including records that have been removed since
	 */
	public long appends() {
		return this.appendCount.get();
	}

	/**
	 * Applies all appends that {@link AppendFault#LATE_EFFECT} has delayed.
	 */
	public void releaseLateAppends() {
		List<Runnable> released;
		synchronized (this) {
			released = List.copyOf(this.lateAppends);
			this.lateAppends.clear();
		}
		released.forEach(Runnable::run);
	}

	/**
	 * Removes the oldest records of a stream.
	 * @param stream name of the stream
	 * @param beforeOffset first offset to retain
	 */
	public synchronized void truncate(String stream, long beforeOffset) {
		stream(stream).truncate(beforeOffset);
	}

	/**
	 * Returns all retained records of a stream, including those that cannot be read yet.
	 * @param stream name of the stream
	 * @return the records in order of offset
	 */
	public synchronized List<LogRecord> records(String stream) {
		return stream(stream).records();
	}

	@Override
	public CompletionStage<Long> append(String stream, byte[] value) {
		Objects.requireNonNull(stream, "stream must not be null");
		Objects.requireNonNull(value, "value must not be null");
		CompletableFuture<Long> response = new CompletableFuture<>();
		afterHalfRoundTrip(() -> handleAppend(stream, value, response));
		return response;
	}

	@Override
	public CompletionStage<LogSlice> read(String stream, long fromOffset, int maximumRecords, Duration wait) {
		Objects.requireNonNull(stream, "stream must not be null");
		if (maximumRecords < 1) {
			throw new IllegalArgumentException("maximumRecords must be at least 1, found " + maximumRecords);
		}
		CompletableFuture<LogSlice> response = new CompletableFuture<>();
		PendingRead read = new PendingRead(stream, fromOffset, maximumRecords, this.clock.instant().plus(wait),
				response);
		afterHalfRoundTrip(() -> tryRead(read));
		return response;
	}

	private void handleAppend(String stream, byte[] value, CompletableFuture<Long> response) {
		if (this.faults.isDown()) {
			fail(response, LogFailure.UNAVAILABLE, "log service is down");
			return;
		}
		if (value.length > MAXIMUM_RECORD_BYTES) {
			fail(response, LogFailure.RECORD_TOO_LARGE, "record has %d bytes".formatted(value.length));
			return;
		}
		AppendFault fault = this.faults.pollAppendFault();
		if (fault != null) {
			failAppend(fault, stream, value, response);
		}
		else if (!tryAcquireAppendSlot()) {
			fail(response, LogFailure.UNAVAILABLE, "too many appends a second");
		}
		else {
			long offset = store(stream, value);
			afterHalfRoundTrip(() -> response.complete(offset));
		}
	}

	private void failAppend(AppendFault fault, String stream, byte[] value, CompletableFuture<Long> response) {
		if (fault.isApplied()) {
			store(stream, value);
		}
		if (fault == AppendFault.LATE_EFFECT) {
			synchronized (this) {
				this.lateAppends.add(() -> store(stream, value));
			}
		}
		fail(response, (fault == AppendFault.REFUSED) ? LogFailure.UNAVAILABLE : LogFailure.UNKNOWN,
				"append failed: " + fault);
	}

	private synchronized boolean tryAcquireAppendSlot() {
		Instant now = this.clock.instant();
		while (!this.recentAppends.isEmpty() && !this.recentAppends.peek().plus(RATE_WINDOW).isAfter(now)) {
			this.recentAppends.poll();
		}
		if (this.recentAppends.size() >= this.faults.appendsPerSecond()) {
			return false;
		}
		this.recentAppends.add(now);
		return true;
	}

	private long store(String stream, byte[] value) {
		long offset;
		List<Runnable> readers;
		synchronized (this) {
			StoredStream stored = stream(stream);
			offset = stored.append(this.clock.instant(), value, this.faults.offsetStep());
			readers = stored.drainReaders();
		}
		this.appendCount.incrementAndGet();
		readers.forEach(Runnable::run);
		return offset;
	}

	private void tryRead(PendingRead read) {
		if (read.response().isDone()) {
			return;
		}
		if (this.faults.isDown()) {
			fail(read.response(), LogFailure.UNAVAILABLE, "log service is down");
			return;
		}
		ReadResult result = readNow(read);
		if (result.expired()) {
			fail(read.response(), LogFailure.OFFSET_EXPIRED,
					"offset %d of stream %s is not kept any more".formatted(read.fromOffset(), read.stream()));
		}
		else if (result.slice() != null) {
			afterHalfRoundTrip(() -> read.response().complete(result.slice()));
		}
	}

	private synchronized ReadResult readNow(PendingRead read) {
		StoredStream stored = stream(read.stream());
		if (stored.isExpired(read.fromOffset())) {
			return new ReadResult(null, true);
		}
		Instant now = this.clock.instant();
		Instant visibleUntil = now.minus(this.faults.readLag());
		if (!stored.hasVisible(read.fromOffset(), visibleUntil) && now.isBefore(read.waitUntil())) {
			scheduleRetry(stored, read, now);
			return new ReadResult(null, false);
		}
		return new ReadResult(
				stored.slice(read.fromOffset(), read.maximumRecords(), visibleUntil, this.faults.hasDuplicates()),
				false);
	}

	private void scheduleRetry(StoredStream stored, PendingRead read, Instant now) {
		Duration left = Duration.between(now, read.waitUntil());
		Duration lag = this.faults.readLag();
		if (lag.isZero()) {
			Runnable reader = () -> tryRead(read);
			stored.addReader(reader);
			this.runner.run(left, () -> {
				synchronized (this) {
					stored.removeReader(reader);
				}
				tryRead(read);
			});
		}
		else {
			this.runner.run((lag.compareTo(left) < 0) ? lag : left, () -> tryRead(read));
		}
	}

	private StoredStream stream(String name) {
		StoredStream stored = this.streams.computeIfAbsent(name, (key) -> StoredStream.create());
		Duration retention = this.faults.retention();
		if (retention != null) {
			stored.expire(this.clock.instant().minus(retention));
		}
		return stored;
	}

	private void fail(CompletableFuture<?> response, LogFailure failure, String message) {
		afterHalfRoundTrip(() -> response.completeExceptionally(LogServiceException.of(failure, message)));
	}

	private void afterHalfRoundTrip(Runnable command) {
		Duration roundTrip = this.faults.roundTrip();
		if (roundTrip.isZero()) {
			command.run();
		}
		else {
			this.runner.run(roundTrip.dividedBy(2), command);
		}
	}

	private record PendingRead(String stream, long fromOffset, int maximumRecords, Instant waitUntil,
			CompletableFuture<LogSlice> response) {
	}

	private record ReadResult(@Nullable LogSlice slice, boolean expired) {
	}

}
