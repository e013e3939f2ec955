package org.sardineport.settings;

import java.time.Duration;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.settings.yaml.Formats;
import org.sardineport.settings.yaml.ScalarFormat;
import org.sardineport.settings.yaml.Section;

/**
 * Readers of the sections of a daemon's settings. Absent keys have their default values.
 */
final class SectionReaders {

	private static final Duration MILLISECOND = Duration.ofMillis(1);

	private static final Duration MINUTE = Duration.ofMinutes(1);

	private static final Duration HOUR = Duration.ofHours(1);

	private static final int MAX_BYTES = 64 * 1024 * 1024;

	private static final int MAX_REQUESTS = 1_000_000;

	private SectionReaders() {
	}

	static @Nullable PlatformSettings platform(Section section) {
		NetworkAddress logService = section.required("logService", Formats.address());
		NetworkAddress vmList = section.required("vmList", Formats.address());
		Duration timeout = section.optional("timeout", Formats.duration(Duration.ofMillis(10), MINUTE),
				Duration.ofSeconds(2));
		section.rejectUnknownKeys();
		return (logService != null && vmList != null) ? new PlatformSettings(logService, vmList, timeout) : null;
	}

	static CallerSettings callers(Section section) {
		CallerSettings defaults = CallerSettings.defaults();
		int bodyBytes = section.optional("maximumBodyBytes", Formats.integer(1024, MAX_BYTES),
				defaults.maximumBodyBytes());
		Duration bodyTimeout = section.optional("bodyTimeout", Formats.duration(Duration.ofMillis(100), HOUR),
				defaults.bodyTimeout());
		int inFlight = section.optional("maximumInFlight", Formats.integer(1, MAX_REQUESTS),
				defaults.maximumInFlight());
		Duration keepTime = section.optional("keepTime", Formats.duration(Duration.ofMillis(100), HOUR),
				defaults.keepTime());
		section.rejectUnknownKeys();
		return new CallerSettings(bodyBytes, bodyTimeout, inFlight, keepTime);
	}

	static SchedulingSettings scheduling(Section section) {
		SchedulingSettings defaults = SchedulingSettings.defaults();
		Duration permitLifetime = section.optional("permitLifetime", upTo(MINUTE), defaults.permitLifetime());
		Duration ownerTimeout = section.optional("ownerTimeout", upTo(MINUTE), defaults.ownerTimeout());
		int waiting = section.optional("maximumWaiting", Formats.integer(1, MAX_REQUESTS), defaults.maximumWaiting());
		Duration reports = section.optional("loadReportInterval", upTo(MINUTE), defaults.loadReportInterval());
		section.rejectUnknownKeys();
		return new SchedulingSettings(permitLifetime, ownerTimeout, waiting, reports);
	}

	static JournalSettings journal(Section section) {
		JournalSettings defaults = JournalSettings.defaults();
		int partitions = section.optional("partitions", Formats.integer(1, 1024), defaults.partitions());
		Duration window = section.optional("replayWindow",
				Formats.duration(Duration.ofSeconds(1), Duration.ofHours(168)), defaults.replayWindow());
		int appends = section.optional("appendsPerSecond", Formats.integer(1, 1000), defaults.appendsPerSecond());
		Duration batchDelay = section.optional("batchDelay", Formats.duration(Duration.ZERO, Duration.ofSeconds(1)),
				defaults.batchDelay());
		int answerBytes = section.optional("maximumAnswerBytes", Formats.integer(1, MAX_BYTES),
				defaults.maximumAnswerBytes());
		Duration takeover = section.optional("takeoverAfter", upTo(HOUR), defaults.takeoverAfter());
		section.rejectUnknownKeys();
		return new JournalSettings(partitions, window, appends, batchDelay, answerBytes, takeover);
	}

	static MembershipSettings membership(Section section) {
		MembershipSettings defaults = MembershipSettings.defaults();
		Duration interval = section.optional("probeInterval", upTo(MINUTE), defaults.probeInterval());
		Duration timeout = section.optional("probeTimeout", upTo(MINUTE), defaults.probeTimeout());
		Duration suspicion = section.optional("suspicionTimeout", upTo(HOUR), defaults.suspicionTimeout());
		Duration vmList = section.optional("vmListInterval", upTo(MINUTE), defaults.vmListInterval());
		section.rejectUnknownKeys();
		return new MembershipSettings(interval, timeout, suspicion, vmList);
	}

	static ConfigurationSettings configuration(Section section) {
		ConfigurationSettings defaults = ConfigurationSettings.defaults();
		ScalarFormat<String> streamName = Formats.name((text) -> DaemonId.of(text).value());
		String stream = section.optional("stream", streamName, defaults.stream());
		Duration readWait = section.optional("readWait", Formats.duration(MILLISECOND, Duration.ofSeconds(30)),
				defaults.readWait());
		Duration snapshots = section.optional("snapshotInterval",
				Formats.duration(Duration.ofSeconds(1), Duration.ofHours(24)), defaults.snapshotInterval());
		section.rejectUnknownKeys();
		return new ConfigurationSettings(stream, readWait, snapshots);
	}

	static StopSettings stop(Section section) {
		StopSettings defaults = StopSettings.defaults();
		Duration linger = section.optional("linger", Formats.duration(MILLISECOND, HOUR), defaults.linger());
		Duration limit = section.optional("limit", Formats.duration(Duration.ZERO, Duration.ofHours(24)),
				defaults.limit());
		section.rejectUnknownKeys();
		return new StopSettings(linger, limit);
	}

	private static ScalarFormat<Duration> upTo(Duration maximum) {
		return Formats.duration(MILLISECOND, maximum);
	}

}
