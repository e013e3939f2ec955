package org.sardineport.daemon.configuration;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.port.log.LogService;
import org.sardineport.core.port.log.LogServiceException;
import org.sardineport.core.port.log.LogSlice;
import org.sardineport.daemon.eventloop.EventLoop;
import org.sardineport.settings.ConfigurationSettings;

/**
 * Reads the configuration stream, one read at a time. Not safe for use by several
 * threads: everything except the callbacks of the log service runs on the event loop.
 */
final class StreamReader {

	private static final int RECORDS_PER_READ = 256;

	/** Minimum delay between a failed read and the next one. */
	private static final Duration RETRY_DELAY = Duration.ofMillis(200);

	/** Timeout of a read, in addition to the wait that the read requests. */
	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);

	/** Interval between reads of a daemon that learns of new versions from peers. */
	private static final Duration IDLE_INTERVAL = Duration.ofSeconds(30);

	private final ConfigurationSettings settings;

	private final LogService log;

	private final InstantSource clock;

	private final EventLoop eventLoop;

	private final Consumer<LogSlice> sliceHandler;

	private final Consumer<LogFailure> failureHandler;

	private final AtomicReference<@Nullable ReadResult> pendingResult = new AtomicReference<>();

	private long lastReadNumber;

	private boolean reading;

	private boolean failing;

	private boolean atEnd;

	private long endOffset;

	private Instant earliestRead = Instant.MIN;

	private Instant lastRead = Instant.MIN;

	private StreamReader(ConfigurationSettings settings, LogService log, InstantSource clock, EventLoop eventLoop,
			Consumer<LogSlice> sliceHandler, Consumer<LogFailure> failureHandler) {
		this.settings = settings;
		this.log = log;
		this.clock = clock;
		this.eventLoop = eventLoop;
		this.sliceHandler = sliceHandler;
		this.failureHandler = failureHandler;
	}

	static StreamReader create(ConfigurationSettings settings, LogService log, InstantSource clock, EventLoop eventLoop,
			Consumer<LogSlice> sliceHandler, Consumer<LogFailure> failureHandler) {
		return new StreamReader(settings, log, clock, eventLoop, sliceHandler, failureHandler);
	}

	/**
	 * Processes the result of a completed read, and starts the next read if none is in
	 * progress and one is due.
	 * @param nextOffset offset of the next record to read
	 * @param continuously whether to read without idle intervals
	 */
	void tick(long nextOffset, boolean continuously) {
		Instant now = this.clock.instant();
		processResult();
		if (this.reading && now.isAfter(this.lastRead.plus(this.settings.readWait()).plus(RESPONSE_TIMEOUT))) {
			fail(LogFailure.UNKNOWN);
		}
		boolean idle = !continuously && this.atEnd && now.isBefore(this.lastRead.plus(IDLE_INTERVAL));
		if (!this.reading && !idle && !now.isBefore(this.earliestRead)) {
			read(nextOffset, now, continuously);
		}
	}

	boolean isFailing() {
		return this.failing;
	}

	boolean isAtEnd() {
		return this.atEnd && !this.failing;
	}

	/**
	 * Returns whether the stream ends before the last offset that this daemon has seen.
	 * @param asOf the last offset that this daemon has seen
	 * @return whether the log service lost records
	 */
	boolean isLogBehind(long asOf) {
		return this.atEnd && this.endOffset <= asOf;
	}

	private void read(long nextOffset, Instant now, boolean continuously) {
		Duration wait = (continuously && this.atEnd) ? this.settings.readWait() : Duration.ZERO;
		long number = ++this.lastReadNumber;
		this.reading = true;
		this.lastRead = now;
		this.log.read(this.settings.stream(), nextOffset, RECORDS_PER_READ, wait).whenComplete((slice, error) -> {
			this.pendingResult.set(new ReadResult(number, slice, error));
			// If the ring is full, the next tick processes the result.
			this.eventLoop.offer(this::processResult);
		});
	}

	private void processResult() {
		ReadResult result = this.pendingResult.getAndSet(null);
		if (result == null || result.number() != this.lastReadNumber || !this.reading) {
			return;
		}
		this.reading = false;
		if (result.slice() != null) {
			this.failing = false;
			this.atEnd = result.slice().isAtEnd();
			this.endOffset = result.slice().endOffset();
			this.sliceHandler.accept(result.slice());
		}
		else {
			fail(failureOf(result.error()));
		}
	}

	private void fail(LogFailure failure) {
		this.reading = false;
		this.failing = failure != LogFailure.OFFSET_EXPIRED;
		this.earliestRead = this.clock.instant().plus(RETRY_DELAY);
		this.failureHandler.accept(failure);
	}

	private static LogFailure failureOf(@Nullable Throwable error) {
		Throwable cause = (error instanceof CompletionException && error.getCause() != null) ? error.getCause() : error;
		return (cause instanceof LogServiceException known) ? known.failure() : LogFailure.UNKNOWN;
	}

	private record ReadResult(long number, @Nullable LogSlice slice, @Nullable Throwable error) {
	}

}
