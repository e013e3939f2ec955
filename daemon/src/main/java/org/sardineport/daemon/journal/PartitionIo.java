package org.sardineport.daemon.journal;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionException;

import com.google.protobuf.InvalidProtocolBufferException;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.journal.AppendBatch;
import org.sardineport.core.journal.JournalEntry;
import org.sardineport.core.journal.JournalPartition;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.port.log.LogRecord;
import org.sardineport.core.port.log.LogService;
import org.sardineport.core.port.log.LogServiceException;
import org.sardineport.core.port.log.LogSlice;
import org.sardineport.core.request.RetryReason;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.wire.journal.JournalCodec;

/**
 * Performs the reads and appends of one partition, with at most one read and one append
 * in flight. All methods are called on the journal's thread unless noted otherwise.
 */
final class PartitionIo {

	private static final int PAGE_RECORDS = 500;

	private static final Duration MAX_READ_WAIT = Duration.ofMillis(500);

	private static final Duration MAX_IN_DOUBT_READ_WAIT = Duration.ofMillis(20);

	private static final EventLog LOG = EventLog.of(PartitionIo.class);

	private final JournalPartition partition;

	private final String stream;

	private final LogService log;

	private final JournalThread thread;

	private final InstantSource clock;

	private final Telemetry telemetry;

	private final Backoff readBackoff;

	private final Backoff appendBackoff;

	private boolean reading;

	private PartitionIo(JournalPartition partition, String stream, LogService log, JournalThread thread,
			InstantSource clock, Telemetry telemetry, SplittableRandom random) {
		this.partition = partition;
		this.stream = stream;
		this.log = log;
		this.thread = thread;
		this.clock = clock;
		this.telemetry = telemetry;
		this.readBackoff = Backoff.create(random.split());
		this.appendBackoff = Backoff.create(random.split());
	}

	static PartitionIo create(JournalPartition partition, String stream, LogService log, JournalThread thread,
			InstantSource clock, Telemetry telemetry, SplittableRandom random) {
		return new PartitionIo(partition, stream, log, thread, clock, telemetry, random);
	}

	JournalPartition partition() {
		return this.partition;
	}

	String stream() {
		return this.stream;
	}

	boolean canAppend(Instant now) {
		return this.appendBackoff.isOver(now);
	}

	void append() {
		AppendBatch batch = this.partition.nextAppend();
		this.telemetry.counter("journal.appends").inc();
		this.telemetry.counter("journal.entries").inc(batch.entries().size());
		this.log.append(this.stream, JournalCodec.encode(batch.entries()))
			.whenComplete((offset, error) -> this.thread.run(() -> appendEnded(batch, error)));
	}

	void read(Instant now) {
		if (this.reading || !this.readBackoff.isOver(now)) {
			return;
		}
		this.reading = true;
		long readNumber = this.partition.beginRead();
		Duration maxWait = (this.partition.isInDoubt()) ? MAX_IN_DOUBT_READ_WAIT : MAX_READ_WAIT;
		maxWait = (this.partition.isReady(now)) ? maxWait : Duration.ZERO;
		this.log.read(this.stream, this.partition.nextOffset(), PAGE_RECORDS, maxWait)
			.whenComplete((slice, error) -> readEnded(readNumber, slice, error));
	}

	private void appendEnded(AppendBatch batch, @Nullable Throwable error) {
		if (error == null) {
			this.appendBackoff.succeeded();
			this.partition.appended(batch);
			return;
		}
		LogFailure failure = failureOf(error);
		this.telemetry
			.retried((failure.isCertainlyNotApplied()) ? RetryReason.LOG_UNAVAILABLE : RetryReason.LOG_ANSWER_LOST)
			.inc();
		LOG.debug("journal.append-failed", "stream", this.stream, "failure", failure);
		this.appendBackoff.failed(this.clock.instant());
		this.partition.appendFailed(batch, failure);
	}

	// Runs on the thread of the log service so that decoding does not block the journal.
	private void readEnded(long readNumber, @Nullable LogSlice slice, @Nullable Throwable error) {
		if (slice == null || error != null) {
			this.thread.run(() -> readFailed(error));
			return;
		}
		List<List<JournalEntry>> decoded = new ArrayList<>(slice.records().size());
		slice.records().forEach((record) -> decoded.add(decode(record)));
		this.thread.run(() -> apply(readNumber, slice, decoded));
	}

	private void apply(long readNumber, LogSlice slice, List<List<JournalEntry>> decoded) {
		this.reading = false;
		this.readBackoff.succeeded();
		Instant now = this.clock.instant();
		for (int i = 0; i < decoded.size(); i++) {
			LogRecord record = slice.records().get(i);
			this.partition.read(record.offset(), record.appendedAt(), decoded.get(i), now);
		}
		int resent = this.partition.readEnded(readNumber, slice.nextOffset(), slice.isAtEnd(), now);
		this.telemetry.counter("journal.entries-sent-again").inc(resent);
		if (!slice.records().isEmpty()) {
			read(now);
		}
	}

	private void readFailed(@Nullable Throwable error) {
		this.reading = false;
		LogFailure failure = failureOf(error);
		LOG.debug("journal.read-failed", "stream", this.stream, "failure", failure);
		if (failure == LogFailure.OFFSET_EXPIRED) {
			this.telemetry.counter("journal.reads-expired").inc();
			LOG.warn("journal.read-expired", "stream", this.stream, "offset", this.partition.nextOffset());
			this.partition.readExpired();
		}
		this.readBackoff.failed(this.clock.instant());
	}

	private List<JournalEntry> decode(LogRecord record) {
		try {
			return JournalCodec.decode(record.value());
		}
		catch (InvalidProtocolBufferException ex) {
			LOG.error("journal.record-unreadable", ex, "stream", this.stream, "offset", record.offset());
			return List.of();
		}
	}

	private static LogFailure failureOf(@Nullable Throwable error) {
		Throwable cause = (error instanceof CompletionException) ? error.getCause() : error;
		return (cause instanceof LogServiceException logException) ? logException.failure() : LogFailure.UNKNOWN;
	}

}
