package org.sardineport.cli.configuration;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.locks.LockSupport;

import org.sardineport.core.configuration.Publication;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.port.log.LogServiceException;
import org.sardineport.core.publishing.PublicationTracker;
import org.sardineport.core.publishing.PublicationTracker.Step;
import org.sardineport.wire.configuration.ConfigurationRecordCodec;

/**
 * Appends a publication to the configuration stream and determines its outcome, with
 * retries until a timeout. Not thread-safe.
 */
public final class Publisher {

	private static final Duration INITIAL_BACKOFF = Duration.ofMillis(20);

	private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

	private final StreamReplica replica;

	private final Duration timeout;

	private final InstantSource clock;

	private Duration pause = INITIAL_BACKOFF;

	private Publisher(StreamReplica replica, Duration timeout, InstantSource clock) {
		this.replica = Objects.requireNonNull(replica, "replica must not be null");
		this.timeout = Objects.requireNonNull(timeout, "timeout must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
	}

	/**
	 * Creates a publisher.
	 * @param replica replica that has read the stream to its end
	 * @param timeout time after which no further append or read is started
	 * @param clock clock that the timeout is measured with
	 * @return the publisher
	 */
	public static Publisher create(StreamReplica replica, Duration timeout, InstantSource clock) {
		return new Publisher(replica, timeout, clock);
	}

	/**
	 * Publishes and blocks until the outcome is known or the timeout has passed.
	 * @param publication the publication
	 * @return tracker with the outcome, which is unknown after a timeout
	 */
	public PublicationTracker publish(Publication publication) {
		PublicationTracker tracker = PublicationTracker.create(publication.token());
		byte[] record = ConfigurationRecordCodec.create().encode(publication);
		Instant end = this.clock.instant().plus(this.timeout);
		boolean retryable = true;
		Step step = tracker.nextStep();
		while (retryable && step != Step.FINISHED && this.clock.instant().isBefore(end)) {
			if (step == Step.APPEND) {
				retryable = append(record, tracker);
			}
			else {
				read(tracker);
			}
			step = tracker.nextStep();
		}
		return tracker;
	}

	private boolean append(byte[] record, PublicationTracker tracker) {
		try {
			this.replica.append(record);
			tracker.appended();
		}
		catch (LogServiceException ex) {
			tracker.onAppendFailed(ex.failure());
			if (ex.failure() == LogFailure.RECORD_TOO_LARGE) {
				return false;
			}
			pause();
		}
		return true;
	}

	private void read(PublicationTracker tracker) {
		try {
			tracker.onVerdicts(this.replica.readToEnd());
			tracker.readToEnd();
		}
		catch (LogServiceException ex) {
			pause();
			return;
		}
		if (tracker.nextStep() == Step.READ) {
			pause();
		}
	}

	private void pause() {
		LockSupport.parkNanos(this.pause.toNanos());
		Duration next = this.pause.multipliedBy(2);
		this.pause = (next.compareTo(MAX_BACKOFF) < 0) ? next : MAX_BACKOFF;
	}

}
