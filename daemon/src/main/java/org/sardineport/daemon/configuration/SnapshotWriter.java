package org.sardineport.daemon.configuration;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;

import org.sardineport.core.configuration.ConfigurationReplica;
import org.sardineport.core.configuration.ConfigurationSnapshot;
import org.sardineport.core.configuration.ImageCodec;
import org.sardineport.core.configuration.ImagePage;
import org.sardineport.core.configuration.SnapshotSchedule;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.port.log.LogRecord;
import org.sardineport.core.port.log.LogService;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.settings.ConfigurationSettings;
import org.sardineport.wire.configuration.ConfigurationRecordCodec;

/**
 * Writes snapshots of the configuration into the stream before the log service drops the
 * records that they replace, so that daemons can still start from the stream. Not safe
 * for use by several threads.
 */
final class SnapshotWriter {

	private static final EventLog LOG = EventLog.of(SnapshotWriter.class);

	/** Page size in bytes, well below the maximum record size of the log service. */
	private static final int PAGE_BYTES = 256 * 1024;

	private static final Duration RETRY_DELAY = Duration.ofSeconds(5);

	/** Time for which the stream must end too early before records count as lost. */
	private static final Duration LOG_BEHIND_TIMEOUT = Duration.ofMinutes(1);

	private static final int JITTER_STEPS = 1000;

	private final String stream;

	private final LogService log;

	private final DaemonId self;

	private final InstantSource clock;

	private final ImageCodec imageCodec;

	private final ConfigurationRecordCodec recordCodec = ConfigurationRecordCodec.create();

	private final SnapshotSchedule schedule;

	private final AtomicBoolean writing = new AtomicBoolean();

	private Instant earliestAttempt = Instant.MIN;

	private Instant behindSince = Instant.MAX;

	private long recoveredVersion = ConfigurationSnapshot.NO_VERSION;

	private SnapshotWriter(ConfigurationSettings settings, LogService log, DaemonId self, InstantSource clock,
			ImageCodec imageCodec) {
		this.stream = settings.stream();
		this.log = log;
		this.self = self;
		this.clock = clock;
		this.imageCodec = imageCodec;
		double jitter = Math.floorMod(self.value().hashCode(), JITTER_STEPS) / (double) JITTER_STEPS;
		this.schedule = SnapshotSchedule.create(settings.snapshotInterval(), jitter, clock.instant());
	}

	static SnapshotWriter create(ConfigurationSettings settings, LogService log, DaemonId self, InstantSource clock,
			ImageCodec imageCodec) {
		return new SnapshotWriter(settings, log, self, clock, imageCodec);
	}

	/**
	 * Records a snapshot page that was read from the stream. The last page of a snapshot
	 * postpones the next snapshot of this daemon.
	 * @param record the record that contains the page
	 * @param page the decoded page
	 */
	void observe(LogRecord record, ImagePage page) {
		Instant now = this.clock.instant();
		if (page.index() == page.count() - 1) {
			this.schedule.seen(record.appendedAt().isBefore(now) ? record.appendedAt() : now);
		}
	}

	/**
	 * Starts to write a snapshot if one is due or the log service has lost records,
	 * unless a write is in progress. Called only when the stream has been read to its
	 * end.
	 * @param replica the replica to take the snapshot of
	 * @param logBehind whether the stream ends before the last offset that the replica
	 * has seen
	 */
	void tick(ConfigurationReplica replica, boolean logBehind) {
		Instant now = this.clock.instant();
		this.behindSince = logBehind ? earlier(this.behindSince, now) : Instant.MAX;
		boolean lost = logBehind && !now.isBefore(this.behindSince.plus(LOG_BEHIND_TIMEOUT))
				&& this.recoveredVersion < replica.state().version();
		boolean due = replica.asOf() != ConfigurationSnapshot.NO_VERSION && (lost || this.schedule.isDue(now));
		if (due && !now.isBefore(this.earliestAttempt) && this.writing.compareAndSet(false, true)) {
			this.earliestAttempt = now.plus(RETRY_DELAY);
			if (lost) {
				this.recoveredVersion = replica.state().version();
				LOG.warn("configuration.log-lost-records", "as-of", replica.asOf());
			}
			write(replica, now);
		}
	}

	private void write(ConfigurationReplica replica, Instant now) {
		long version = replica.state().version();
		String id = "%d-%s-%d".formatted(replica.asOf(), this.self, now.toEpochMilli());
		byte[] image = this.imageCodec.encode(replica.state().image(replica.asOf(), ConfigurationSnapshot.NO_VERSION));
		List<ImagePage> pages = ImagePage.split(id, version, image, PAGE_BYTES);
		CompletionStage<?> written = CompletableFuture.completedFuture(null);
		for (ImagePage page : pages) {
			written = written.thenCompose((previous) -> this.log.append(this.stream, this.recordCodec.encode(page)));
		}
		written.whenComplete((offset, error) -> {
			this.writing.set(false);
			if (error != null) {
				LOG.warn("configuration.snapshot-failed", "error", error);
			}
			else {
				LOG.info("configuration.snapshot-written", "version", version, "pages", pages.size());
			}
		});
	}

	private static Instant earlier(Instant one, Instant other) {
		return one.isBefore(other) ? one : other;
	}

}
