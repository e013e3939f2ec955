package org.sardineport.bench.configuration;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;

import org.sardineport.bench.HeapUsage;
import org.sardineport.core.configuration.ConfigurationDistribution;
import org.sardineport.core.configuration.ConfigurationImage;
import org.sardineport.core.configuration.ConfigurationReplica;
import org.sardineport.core.configuration.ConfigurationState;
import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.configuration.Publication;
import org.sardineport.core.configuration.RecentChanges;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.settings.profile.ProfileReader;
import org.sardineport.wire.configuration.ConfigurationRecordCodec;
import org.sardineport.wire.configuration.DeflatedImageCodec;

/**
 * Cost of the configuration for one daemon.
 *
 * @param recordBytes size of the log record of one change, in bytes
 * @param deltaBytes size of one change as sent between daemons, in bytes
 * @param distributionBytes bytes that a daemon sends and receives for one change
 * @param applyMicros time to decode and apply one change, in microseconds
 * @param memoryPerProfile memory of one profile in force, in bytes
 */
record ReplicaCost(double recordBytes, double deltaBytes, double distributionBytes, double applyMicros,
		double memoryPerProfile) {

	/** Garbage collections before each reading of the heap. */
	private static final int COLLECTIONS = 4;

	private static final int WARM_UP_CHANGES = 500;

	private static final int MEASURED_CHANGES = 500;

	private static final int MEMORY_PROFILES = 100;

	/** Size of the frames of an announcement and a fetch together. */
	private static final int ANNOUNCEMENT_AND_FETCH_BYTES = 2 * 200;

	static ReplicaCost measure(ProfileTexts texts, int profiles) {
		ConfigurationRecordCodec codec = ConfigurationRecordCodec.create();
		ConfigurationReplica replica = replica(codec, texts, profiles);
		applyChanges(codec, texts, replica, profiles, WARM_UP_CHANGES);
		double micros = applyChanges(codec, texts, replica, profiles, MEASURED_CHANGES);
		double delta = deltaBytes(codec, texts, replica, profiles);
		double distribution = (1 + ConfigurationDistribution.FAN_OUT) * (delta + ANNOUNCEMENT_AND_FETCH_BYTES);
		return new ReplicaCost(record(codec, texts, 0, 1, 0).length, delta, distribution, micros,
				memoryPerProfile(codec, texts));
	}

	private static double deltaBytes(ConfigurationRecordCodec codec, ProfileTexts texts, ConfigurationReplica replica,
			int profiles) {
		ConfigurationState before = replica.state();
		applyChanges(codec, texts, replica, profiles, 1);
		ConfigurationState after = replica.state();
		RecentChanges changes = RecentChanges.create();
		changes.recordChanges(before, after);
		ConfigurationImage image = changes.withPatches(after.image(replica.asOf(), before.version()));
		return DeflatedImageCodec.create().encode(image).length;
	}

	private static ConfigurationReplica replica(ConfigurationRecordCodec codec, ProfileTexts texts, int profiles) {
		ConfigurationReplica replica = ConfigurationReplica.create(ProfileReader.create(), DeflatedImageCodec.create());
		for (int i = 0; i < profiles; i++) {
			replica.apply(i, codec.decode(record(codec, texts, i, i, i - 1)));
		}
		return replica;
	}

	private static double memoryPerProfile(ConfigurationRecordCodec codec, ProfileTexts texts) {
		ConfigurationReplica few = replica(codec, texts, 1);
		long before = HeapUsage.usedBytes(COLLECTIONS);
		ConfigurationReplica many = replica(codec, texts, MEMORY_PROFILES + 1);
		long after = HeapUsage.usedBytes(COLLECTIONS);
		Reference.reachabilityFence(few);
		Reference.reachabilityFence(many);
		return (double) (after - before) / MEMORY_PROFILES;
	}

	private static double applyChanges(ConfigurationRecordCodec codec, ProfileTexts texts, ConfigurationReplica replica,
			int profiles, int changes) {
		long first = replica.nextOffset();
		List<byte[]> records = new ArrayList<>();
		for (int i = 0; i < changes; i++) {
			records.add(record(codec, texts, i % profiles, i, first + i - 1));
		}
		long start = System.nanoTime();
		for (int i = 0; i < changes; i++) {
			replica.apply(first + i, codec.decode(records.get(i)));
		}
		double micros = (System.nanoTime() - start) / 1e3 / changes;
		if (replica.state().version() != first + changes - 1) {
			throw new IllegalStateException("replica did not accept every change");
		}
		return micros;
	}

	private static byte[] record(ConfigurationRecordCodec codec, ProfileTexts texts, int profile, int revision,
			long base) {
		String name = "profile-" + profile;
		ProfileDocument document = new ProfileDocument(ProfileName.of(name), texts.text(name, revision));
		return codec.encode(new Publication("token-" + revision, base, List.of(document), List.of(), "operator"));
	}

}
