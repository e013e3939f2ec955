package org.sardineport.bench.slope;

import java.util.List;
import java.util.stream.IntStream;

import org.sardineport.core.configuration.ConfigurationAnnouncement;
import org.sardineport.core.configuration.ConfigurationDistribution;
import org.sardineport.core.configuration.ConfigurationFetch;
import org.sardineport.core.configuration.ConfigurationReplica;
import org.sardineport.core.configuration.ImagePage;
import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.configuration.Publication;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.settings.profile.ProfileReader;
import org.sardineport.wire.configuration.ConfigurationRecordCodec;
import org.sardineport.wire.configuration.DeflatedImageCodec;

/**
 * Costs of the configuration replica, for profiles as large as those of current
 * deployments.
 */
final class ConfigurationSlopes {

	private static final int ORGANISATIONS = 5;

	private static final int PROFILES = 50;

	private ConfigurationSlopes() {
	}

	static List<SlopeProbe> probes() {
		List<Integer> changes = List.of(200, 400, 800);
		return List.of(
				new SlopeProbe("profile-memory", Role.CONFIGURATION_REPLICA, "profiles in force", CostUnit.HEAP_BYTES,
						List.of(100, 200, 400), ConfigurationSlopes::memory),
				new SlopeProbe("change-time", Role.CONFIGURATION_REPLICA, "changes", CostUnit.CPU_NANOSECONDS, changes,
						ConfigurationSlopes::changeTime),
				new SlopeProbe("change-spread-bytes", Role.CONFIGURATION_REPLICA, "changes", CostUnit.WIRE_BYTES,
						changes, ConfigurationSlopes::distributionBytes));
	}

	private static double memory(int profiles, long seed) {
		return HeapMeter.retainedBytes(() -> replica(profiles, seed));
	}

	private static double changeTime(int changes, long seed) {
		ConfigurationReplica replica = replica(PROFILES, seed);
		ConfigurationRecordCodec codec = ConfigurationRecordCodec.create();
		List<byte[]> records = IntStream.range(0, 2 * changes)
			.mapToObj((change) -> codec.encode(publication(PROFILES + change, seed)))
			.toList();
		return CpuTimeMeter.cpuNanos(() -> {
			for (int i = 0; i < changes; i++) {
				long offset = replica.nextOffset();
				replica.apply(offset, codec.decode(records.get((int) offset - PROFILES)));
			}
		});
	}

	// A daemon fetches each change once, and each peer that it announces the change to
	// fetches the change from it.
	private static double distributionBytes(int changes, long seed) {
		ConfigurationReplica replica = replica(PROFILES, seed);
		FrameMeter meter = new FrameMeter();
		double bytes = 0;
		for (int i = 0; i < changes; i++) {
			long offset = replica.nextOffset();
			replica.apply(offset, publication((int) offset, seed));
			byte[] part = DeflatedImageCodec.create().encode(replica.state().image(offset, offset - 1));
			double once = meter.bytes(new ConfigurationAnnouncement(offset, offset, true))
					+ meter.bytes(new ConfigurationFetch(offset - 1, 0))
					+ meter.bytes(new ImagePage("id", offset, 0, 1, part));
			bytes += (1 + ConfigurationDistribution.FAN_OUT) * once;
		}
		return bytes;
	}

	private static ConfigurationReplica replica(int profiles, long seed) {
		ConfigurationReplica replica = ConfigurationReplica.create(ProfileReader.create(), DeflatedImageCodec.create());
		for (int i = 0; i < profiles; i++) {
			replica.apply(i, publication("profile-" + i, i, seed));
		}
		if (replica.state().version() != profiles - 1) {
			throw new IllegalStateException("replica did not accept every publication");
		}
		return replica;
	}

	private static Publication publication(int offset, long seed) {
		return publication("profile-" + offset % PROFILES, offset, seed);
	}

	private static Publication publication(String name, int offset, long seed) {
		return new Publication("token-" + seed + "-" + offset, offset - 1,
				List.of(new ProfileDocument(ProfileName.of(name), text(name, offset))), List.of(), "operator");
	}

	private static String text(String name, int revision) {
		StringBuilder text = new StringBuilder("name: ").append(name).append("\nroutes:\n");
		for (String path : List.of("/v1/explanations", "/v1/summaries", "/v1/senses", "/v1/reports")) {
			text.append("  - {method: POST, path: ")
				.append(path)
				.append(", pool: model, tier: standard, deadline: ")
				.append(5 + revision % 50)
				.append("s, answerTokens: 400}\n");
		}
		text.append("organisations:\n");
		for (int i = 0; i < ORGANISATIONS; i++) {
			text.append("  - {name: organisation-")
				.append(i)
				.append(", tokensPerSecond: ")
				.append(1000 + i)
				.append("}\n");
		}
		return text.toString();
	}

}
