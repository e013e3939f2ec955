package org.sardineport.daemon.journal;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.InvalidProtocolBufferException;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.journal.JournalEntry;
import org.sardineport.core.journal.KeyedRequest;
import org.sardineport.core.journal.ResponseAssembler;
import org.sardineport.core.journal.ResponseLocation;
import org.sardineport.core.journal.StoredResponse;
import org.sardineport.core.port.log.LogRecord;
import org.sardineport.core.port.log.LogService;
import org.sardineport.core.port.log.LogSlice;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.wire.journal.JournalCodec;

/**
 * Reads stored responses and requests back from the log. A stage completes with
 * {@code null} if the log does not contain the item, and fails if the log cannot be read.
 * Safe for use by any thread.
 */
final class AnswerReader {

	private static final int PAGE_RECORDS = 50;

	private static final EventLog LOG = EventLog.of(AnswerReader.class);

	private final LogService log;

	private AnswerReader(LogService log) {
		this.log = log;
	}

	static AnswerReader create(LogService log) {
		return new AnswerReader(log);
	}

	CompletionStage<@Nullable StoredResponse> readResponse(String stream, ResponseLocation location) {
		return readFrom(stream, location.offset(), ResponseAssembler.of(location));
	}

	CompletionStage<@Nullable KeyedRequest> readRequest(String stream, long offset, String token) {
		return this.log.read(stream, offset, 1, Duration.ZERO).thenApply((slice) -> findRequest(slice, offset, token));
	}

	private CompletionStage<@Nullable StoredResponse> readFrom(String stream, long offset,
			ResponseAssembler assembler) {
		return this.log.read(stream, offset, PAGE_RECORDS, Duration.ZERO).thenCompose((slice) -> {
			for (LogRecord record : slice.records()) {
				for (JournalEntry entry : decode(stream, record)) {
					if (assembler.add(entry)) {
						return CompletableFuture.completedStage(assembler.response());
					}
				}
			}
			if (slice.isAtEnd()) {
				return CompletableFuture.completedStage(null);
			}
			return readFrom(stream, slice.nextOffset(), assembler);
		});
	}

	private static @Nullable KeyedRequest findRequest(LogSlice slice, long offset, String token) {
		for (LogRecord record : slice.records()) {
			if (record.offset() != offset) {
				continue;
			}
			for (JournalEntry entry : decode("", record)) {
				if (entry instanceof JournalEntry.Accepted accepted && accepted.token().equals(token)) {
					return accepted.request();
				}
			}
		}
		return null;
	}

	private static List<JournalEntry> decode(String stream, LogRecord record) {
		try {
			return JournalCodec.decode(record.value());
		}
		catch (InvalidProtocolBufferException ex) {
			LOG.error("journal.record-unreadable", ex, "stream", stream, "offset", record.offset());
			return List.of();
		}
	}

}
