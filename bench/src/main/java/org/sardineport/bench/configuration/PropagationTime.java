package org.sardineport.bench.configuration;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.Histogram;
import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.configuration.Publication;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.wire.configuration.ConfigurationRecordCodec;

/**
 * Measures the propagation time of configuration changes, from the start of the append
 * until the change is in force on all daemons. Histograms are in microseconds.
 */
final class PropagationTime {

	private static final long MAXIMUM_MICROS = TimeUnit.MINUTES.toMicros(1);

	private static final Duration PUBLISH_INTERVAL = Duration.ofMillis(30);

	private static final Duration RETRY_DELAY = Duration.ofMillis(100);

	private static final ProfileName PROFILE = ProfileName.of("measured");

	private final ConfigurationFleet fleet;

	private final ProfileTexts texts = ProfileTexts.small();

	private final AtomicLong awaitedVersion = new AtomicLong(Long.MAX_VALUE);

	private final AtomicInteger pendingDaemons = new AtomicInteger();

	private volatile CompletableFuture<Void> appliedEverywhere = new CompletableFuture<>();

	private long version = -1;

	private int revision;

	PropagationTime(ConfigurationFleet fleet) {
		this.fleet = fleet;
		this.fleet.configurationServices().forEach((service) -> service.listen((snapshot) -> {
			if (snapshot.version() >= this.awaitedVersion.get() && this.pendingDaemons.decrementAndGet() == 0) {
				this.appliedEverywhere.complete(null);
			}
		}));
	}

	/**
	 * Publishes changes one after the other.
	 * @param count number of changes
	 * @return the propagation times
	 */
	Histogram publishChanges(int count) {
		Histogram times = histogram();
		for (int i = 0; i < count; i++) {
			pause(PUBLISH_INTERVAL);
			times.recordValue(publish());
		}
		return times;
	}

	/**
	 * Publishes changes during outages of the log service, and retries each until it is
	 * appended.
	 * @param count number of outages, with one change each
	 * @param outage duration of each outage
	 * @return the propagation times, from the first attempt on
	 */
	Histogram publishDuringOutages(int count, Duration outage) {
		Histogram times = histogram();
		for (int i = 0; i < count; i++) {
			this.fleet.log().faults().outage(true);
			schedule(outage, () -> this.fleet.log().faults().outage(false));
			times.recordValue(publish());
		}
		return times;
	}

	/**
	 * Publishes changes while reads of the log service lag behind its appends.
	 * @param count number of changes
	 * @param lag time until an appended record can be read
	 * @return the propagation times
	 */
	Histogram publishDuringReadLag(int count, Duration lag) {
		Histogram times = histogram();
		this.fleet.log().faults().readLag(lag);
		for (int i = 0; i < count; i++) {
			times.recordValue(publish());
		}
		this.fleet.log().faults().readLag(Duration.ZERO);
		return times;
	}

	private long publish() {
		byte[] record = record();
		this.appliedEverywhere = new CompletableFuture<>();
		this.pendingDaemons.set(this.fleet.configurationServices().size());
		this.awaitedVersion.set(this.version + 1);
		long start = System.nanoTime();
		this.version = append(record);
		this.appliedEverywhere.join();
		return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start);
	}

	private long append(byte[] record) {
		while (true) {
			try {
				return this.fleet.client().append("configuration", record).toCompletableFuture().join();
			}
			catch (CompletionException ex) {
				pause(RETRY_DELAY);
			}
		}
	}

	private byte[] record() {
		this.revision++;
		ProfileDocument document = new ProfileDocument(PROFILE, this.texts.text(PROFILE.value(), this.revision));
		return ConfigurationRecordCodec.create()
			.encode(new Publication("token-" + this.revision, this.version, List.of(document), List.of(), "bench"));
	}

	private static void schedule(Duration delay, Runnable command) {
		Executor delayed = CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS);
		delayed.execute(command);
	}

	private static void pause(Duration duration) {
		CompletableFuture.runAsync(() -> {
		}, CompletableFuture.delayedExecutor(duration.toMillis(), TimeUnit.MILLISECONDS)).join();
	}

	private static Histogram histogram() {
		return new Histogram(MAXIMUM_MICROS, 3);
	}

}
