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
 * Publishes and finds out what became of it, within a time limit.
 */
public final class Publisher {

	private static final Duration FIRST_PAUSE = Duration.ofMillis(20);

	private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

	private final StreamReplica replica;

	private final Duration limit;

	private final InstantSource clock;

	private Duration pause = FIRST_PAUSE;

	private Publisher(StreamReplica replica, Duration limit, InstantSource clock) {
		this.replica = Objects.requireNonNull(replica, "replica must not be null");
		this.limit = Objects.requireNonNull(limit, "limit must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
	}

	/**
	 * Returns a publisher.
	 * @param replica replica of the stream, read to its end
	 * @param limit time after which nothing more is tried
	 * @param clock the clock
	 * @return the publisher
	 */
	public static Publisher create(StreamReplica replica, Duration limit, InstantSource clock) {
		return new Publisher(replica, limit, clock);
	}

	/**
	 * Publishes.
	 * @param publication the publication
	 * @return what became of it
	 */
	public PublicationTracker publish(Publication publication) {
		PublicationTracker settlement = PublicationTracker.create(publication.token());
		byte[] record = ConfigurationRecordCodec.create().encode(publication);
		Instant end = this.clock.instant().plus(this.limit);
		boolean possible = true;
		Step step = settlement.nextStep();
		while (possible && step != Step.FINISHED && this.clock.instant().isBefore(end)) {
			if (step == Step.APPEND) {
				possible = append(record, settlement);
			}
			else {
				read(settlement);
			}
			step = settlement.nextStep();
		}
		return settlement;
	}

	private boolean append(byte[] record, PublicationTracker settlement) {
		try {
			this.replica.append(record);
			settlement.appended();
		}
		catch (LogServiceException ex) {
			settlement.onAppendFailed(ex.failure());
			if (ex.failure() == LogFailure.RECORD_TOO_LARGE) {
				return false;
			}
			pause();
		}
		return true;
	}

	private void read(PublicationTracker settlement) {
		try {
			settlement.onVerdicts(this.replica.readToEnd());
			settlement.readToEnd();
		}
		catch (LogServiceException ex) {
			pause();
			return;
		}
		if (settlement.nextStep() == Step.READ) {
			pause();
		}
	}

	private void pause() {
		LockSupport.parkNanos(this.pause.toNanos());
		Duration next = this.pause.multipliedBy(2);
		this.pause = (next.compareTo(LONGEST_PAUSE) < 0) ? next : LONGEST_PAUSE;
	}

}
