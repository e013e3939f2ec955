package org.sardineport.settings;

import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.settings.yaml.DocumentLimits;
import org.sardineport.settings.yaml.FaultList;
import org.sardineport.settings.yaml.Formats;
import org.sardineport.settings.yaml.ScalarFormat;
import org.sardineport.settings.yaml.Section;
import org.sardineport.settings.yaml.YamlDocument;

/**
 * Parses a daemon's settings in YAML and reports all their faults together. Thread-safe.
 */
public final class DaemonSettingsReader {

	private static final String DOCUMENT = "settings";

	private static final DocumentLimits LIMITS = new DocumentLimits(64 * 1024, 2000, 5);

	private static final int MAX_SEEDS = 64;

	private static final int MAX_PEER_KEYS = 2;

	private static final int MIN_PEER_KEY_LENGTH = 32;

	private static final int MIN_TOKEN_LENGTH = 16;

	private static final int MAX_SECRET_LENGTH = 256;

	private static final ScalarFormat<String> FLEET = Formats.name((text) -> DaemonId.of(text).value());

	private DaemonSettingsReader() {
	}

	/**
	 * Creates a reader.
	 * @return the reader, which has no state
	 */
	public static DaemonSettingsReader create() {
		return new DaemonSettingsReader();
	}

	/**
	 * Parses settings.
	 * @param yaml the text of the settings
	 * @return the settings
	 * @throws InvalidDocumentException if the text is invalid; contains all faults found
	 */
	public DaemonSettings read(String yaml) throws InvalidDocumentException {
		Objects.requireNonNull(yaml, "yaml must not be null");
		FaultList faults = FaultList.create();
		Section root = YamlDocument.read(DOCUMENT, yaml, LIMITS, faults);
		Supplier<DaemonSettings> settings = readAll(root);
		faults.throwIfAny(DOCUMENT);
		return settings.get();
	}

	private static Supplier<DaemonSettings> readAll(Section root) {
		String fleet = root.required("fleet", FLEET);
		DaemonId daemon = root.required("daemon", Formats.name(DaemonId::of));
		FailureDomain domain = root.required("failureDomain", Formats.name(FailureDomain::of));
		NetworkAddress caller = root.required("callerAddress", Formats.address());
		NetworkAddress operator = root.required("operatorAddress", Formats.address());
		NetworkAddress peer = root.required("peerAddress", Formats.address());
		List<NetworkAddress> seeds = root.list("seeds", Formats.address(), MAX_SEEDS);
		List<String> peerKeys = root.list("peerKeys", Formats.secret(MIN_PEER_KEY_LENGTH, MAX_SECRET_LENGTH),
				MAX_PEER_KEYS);
		String token = root.required("operatorToken", Formats.secret(MIN_TOKEN_LENGTH, MAX_SECRET_LENGTH));
		PlatformSettings platform = SectionReaders.platform(root.section("platform"));
		CallerSettings callers = SectionReaders.callers(root.section("callers"));
		SchedulingSettings scheduling = SectionReaders.scheduling(root.section("scheduling"));
		JournalSettings journal = SectionReaders.journal(root.section("journal"));
		MembershipSettings membership = SectionReaders.membership(root.section("membership"));
		ConfigurationSettings configuration = SectionReaders.configuration(root.section("configuration"));
		StopSettings stop = SectionReaders.stop(root.section("stop"));
		root.rejectUnknownKeys();
		checkAddresses(root, caller, operator, peer);
		checkPeerKeys(root, peerKeys);
		CrossChecks.check(root, callers, scheduling, journal, membership, stop);
		return () -> new DaemonSettings(present(fleet), present(daemon), present(domain), present(caller),
				present(operator), present(peer), seeds, peerKeys, present(token), present(platform), callers,
				scheduling, journal, membership, configuration, stop);
	}

	private static <T> T present(@Nullable T value) {
		return Objects.requireNonNull(value, "missing value without a recorded fault");
	}

	private static void checkAddresses(Section root, @Nullable NetworkAddress caller, @Nullable NetworkAddress operator,
			@Nullable NetworkAddress peer) {
		if (operator != null && operator.equals(caller)) {
			root.fault("operatorAddress", "the same address as callerAddress", "write another port");
		}
		if (peer != null && (peer.equals(caller) || peer.equals(operator))) {
			root.fault("peerAddress", "the same address as callerAddress or operatorAddress", "write another port");
		}
	}

	private static void checkPeerKeys(Section root, List<String> peerKeys) {
		if (peerKeys.isEmpty()) {
			root.fault("peerKeys", "no valid key",
					"write the secret that all daemons of the fleet share, and during a rotation a second one");
		}
		if (peerKeys.stream().distinct().count() < peerKeys.size()) {
			root.fault("peerKeys", "a duplicate key", "remove one of the two");
		}
	}

}
