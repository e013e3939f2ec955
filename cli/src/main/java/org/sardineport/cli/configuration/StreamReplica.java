package org.sardineport.cli.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.sardineport.core.configuration.ConfigurationReplica;
import org.sardineport.core.configuration.ConfigurationState;
import org.sardineport.core.configuration.TailSearch;
import org.sardineport.core.configuration.Verdict;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.port.log.LogRecord;
import org.sardineport.core.port.log.LogService;
import org.sardineport.core.port.log.LogServiceException;
import org.sardineport.core.port.log.LogSlice;
import org.sardineport.settings.profile.ProfileReader;
import org.sardineport.wire.configuration.ConfigurationRecordCodec;
import org.sardineport.wire.configuration.DeflatedImageCodec;

/**
 * Replica of the configuration that is read from the log stream with blocking calls. Not
 * thread-safe.
 */
public final class StreamReplica {

	private static final int MAX_RECORDS_PER_READ = 256;

	private final LogService log;

	private final String stream;

	private final Duration timeout;

	private final ConfigurationRecordCodec records = ConfigurationRecordCodec.create();

	private final ConfigurationReplica replica = ConfigurationReplica.create(ProfileReader.create(),
			DeflatedImageCodec.create());

	private boolean started;

	private StreamReplica(LogService log, String stream, Duration timeout) {
		this.log = Objects.requireNonNull(log, "log must not be null");
		this.stream = Objects.requireNonNull(stream, "stream must not be null");
		this.timeout = Objects.requireNonNull(timeout, "timeout must not be null");
	}

	/**
	 * Creates a replica that has not read any record.
	 * @param log the log service
	 * @param stream name of the stream
	 * @param timeout time to wait for each response of the log service
	 * @return the replica
	 */
	public static StreamReplica create(LogService log, String stream, Duration timeout) {
		return new StreamReplica(log, stream, timeout);
	}

	/**
	 * Returns the configuration as of the last record read.
	 * @return the state
	 */
	public ConfigurationState state() {
		return this.replica.state();
	}

	/**
	 * Returns whether records are missing because the log has expired them.
	 * @return whether the state is incomplete
	 */
	public boolean hasGap() {
		return this.replica.hasGap();
	}

	/**
	 * Reads the stream to its end. The first call starts at the latest snapshot that it
	 * finds near the end of the stream.
	 * @return verdicts on the publications read; empty at the first call
	 * @throws LogServiceException if the log service fails
	 */
	public List<Verdict> readToEnd() throws LogServiceException {
		if (!this.started) {
			readFromLatestSnapshot();
			this.started = true;
			return List.of();
		}
		return readRemaining();
	}

	private void readFromLatestSnapshot() throws LogServiceException {
		long endOffset = await(this.log.read(this.stream, LogService.EARLIEST, 1, Duration.ZERO)).endOffset();
		TailSearch search = TailSearch.before(endOffset);
		long start;
		do {
			start = search.next();
			this.replica.beginAt(start);
			readRemaining();
		}
		while (this.replica.hasGap() && start > 0);
	}

	private List<Verdict> readRemaining() throws LogServiceException {
		List<Verdict> verdicts = new ArrayList<>();
		LogSlice slice;
		do {
			slice = read();
			for (LogRecord record : slice.records()) {
				verdicts.addAll(this.replica.apply(record.offset(), this.records.decode(record.value())));
			}
			verdicts.addAll(this.replica.readUpTo(slice.nextOffset()));
		}
		while (!slice.isAtEnd());
		return verdicts;
	}

	private LogSlice read() throws LogServiceException {
		try {
			return await(this.log.read(this.stream, this.replica.nextOffset(), MAX_RECORDS_PER_READ, Duration.ZERO));
		}
		catch (LogServiceException ex) {
			if (ex.failure() != LogFailure.OFFSET_EXPIRED) {
				throw ex;
			}
			this.replica.expired();
			return await(this.log.read(this.stream, this.replica.nextOffset(), MAX_RECORDS_PER_READ, Duration.ZERO));
		}
	}

	/**
	 * Appends a record to the stream.
	 * @param record the record
	 * @return its offset
	 * @throws LogServiceException if the log service fails
	 */
	long append(byte[] record) throws LogServiceException {
		return await(this.log.append(this.stream, record));
	}

	private <T> T await(CompletionStage<T> stage) throws LogServiceException {
		try {
			return stage.toCompletableFuture().get(this.timeout.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException ex) {
			if (ex.getCause() instanceof LogServiceException known) {
				throw known;
			}
			throw LogServiceException.of(LogFailure.UNKNOWN, "log service failed: " + ex.getCause(), ex);
		}
		catch (TimeoutException ex) {
			throw LogServiceException.of(LogFailure.UNKNOWN, "no response from the log service within the timeout", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw LogServiceException.of(LogFailure.UNKNOWN, "interrupted while waiting for the log service", ex);
		}
	}

}
