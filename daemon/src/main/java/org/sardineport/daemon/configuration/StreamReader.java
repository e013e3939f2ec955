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
 * threads: all but the answers of the log service runs on the duty's thread.
 */
final class StreamReader {

	private static final int RECORDS_PER_READ = 256;

	/** Time between two reads while the log service fails. */
	private static final Duration RETRY_DELAY = Duration.ofMillis(200);

	/** Time after the wait of a read within which its answer must come. */
	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);

	/** Time between two reads of a daemon that others tell of new versions. */
	private static final Duration IDLE_INTERVAL = Duration.ofSeconds(30);

	private final ConfigurationSettings settings;

	private final LogService log;

	private final InstantSource clock;

	private final EventLoop duty;

	private final Consumer<LogSlice> slices;

	private final Consumer<LogFailure> failures;

	private final AtomicReference<@Nullable Answer> answer = new AtomicReference<>();

	private long reads;

	private boolean reading;

	private boolean failing;

	private boolean atEnd;

	private long endOffset;

	private Instant earliestRead = Instant.MIN;

	private Instant lastRead = Instant.MIN;

	private StreamReader(ConfigurationSettings settings, LogService log, InstantSource clock, EventLoop duty,
			Consumer<LogSlice> slices, Consumer<LogFailure> failures) {
		this.settings = settings;
		this.log = log;
		this.clock = clock;
		this.duty = duty;
		this.slices = slices;
		this.failures = failures;
	}

	static StreamReader create(ConfigurationSettings settings, LogService log, InstantSource clock, EventLoop duty,
			Consumer<LogSlice> slices, Consumer<LogFailure> failures) {
		return new StreamReader(settings, log, clock, duty, slices, failures);
	}

	/**
	 * Reads on if it is time.
	 * @param nextOffset where to read on
	 * @param continuously whether this daemon reads the stream all the time
	 */
	void tick(long nextOffset, boolean continuously) {
		Instant now = this.clock.instant();
		takeAnswer();
		if (this.reading && now.isAfter(this.lastRead.plus(this.settings.readWait()).plus(ANSWER_TIMEOUT))) {
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
	 * Returns whether the stream ends before what this daemon has seen of it.
	 * @param asOf last offset that this daemon has seen
	 * @return whether the log service lost records
	 */
	boolean isLogBehind(long asOf) {
		return this.atEnd && this.endOffset <= asOf;
	}

	private void read(long nextOffset, Instant now, boolean continuously) {
		Duration wait = (continuously && this.atEnd) ? this.settings.readWait() : Duration.ZERO;
		long number = ++this.reads;
		this.reading = true;
		this.lastRead = now;
		this.log.read(this.settings.stream(), nextOffset, RECORDS_PER_READ, wait).whenComplete((slice, error) -> {
			this.answer.set(new Answer(number, slice, error));
			// A full ring only delays the answer to the next tick.
			this.duty.offer(this::takeAnswer);
		});
	}

	private void takeAnswer() {
		Answer taken = this.answer.getAndSet(null);
		if (taken == null || taken.number() != this.reads || !this.reading) {
			return;
		}
		this.reading = false;
		if (taken.slice() != null) {
			this.failing = false;
			this.atEnd = taken.slice().isAtEnd();
			this.endOffset = taken.slice().endOffset();
			this.slices.accept(taken.slice());
		}
		else {
			fail(failureOf(taken.error()));
		}
	}

	private void fail(LogFailure failure) {
		this.reading = false;
		this.failing = failure != LogFailure.OFFSET_EXPIRED;
		this.earliestRead = this.clock.instant().plus(RETRY_DELAY);
		this.failures.accept(failure);
	}

	private static LogFailure failureOf(@Nullable Throwable error) {
		Throwable cause = (error instanceof CompletionException && error.getCause() != null) ? error.getCause() : error;
		return (cause instanceof LogServiceException known) ? known.failure() : LogFailure.UNKNOWN;
	}

	private record Answer(long number, @Nullable LogSlice slice, @Nullable Throwable error) {
	}

}
