package org.sardineport.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.error.DocumentFault;
import org.sardineport.core.error.InvalidDocumentException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class DaemonSettingsReaderTests {

	private static final String VALID = """
			fleet: bagmati
			daemon: entry-1
			failureDomain: lalitpur
			callerAddress: 10.0.0.1:8080
			operatorAddress: 10.0.0.1:8081
			peerAddress: '[fd00::1]:8082'
			seeds: [10.0.0.2:8082]
			peerKeys: [0123456789abcdef0123456789abcdef]
			operatorToken: 0123456789abcdef
			platform: {logService: 10.0.0.9:7070, vmList: 10.0.0.9:7071}
			""";

	private final DaemonSettingsReader reader = DaemonSettingsReader.create();

	@Test
	void usesDefaultsForAbsentKeys() throws InvalidDocumentException {
		DaemonSettings settings = this.reader.read(VALID);
		assertThat(settings.callers()).isEqualTo(CallerSettings.defaults());
		assertThat(settings.scheduling()).isEqualTo(SchedulingSettings.defaults());
		assertThat(settings.journal()).isEqualTo(JournalSettings.defaults());
		assertThat(settings.membership()).isEqualTo(MembershipSettings.defaults());
		assertThat(settings.configuration()).isEqualTo(ConfigurationSettings.defaults());
		assertThat(settings.stop()).isEqualTo(StopSettings.defaults());
		assertThat(settings.platform().timeout()).isEqualTo(Duration.ofSeconds(2));
		assertThat(settings.peerAddress().ip()).isEqualTo("fd00::1");
	}

	@Test
	void commentedExampleShowsTheDefaults() throws IOException, InvalidDocumentException {
		DaemonSettings settings = this.reader.read(Files.readString(Path.of("../docs/examples/settings.yaml")));
		DaemonSettings bare = this.reader.read(VALID);
		assertThat(settings.callers()).isEqualTo(bare.callers());
		assertThat(settings.scheduling()).isEqualTo(bare.scheduling());
		assertThat(settings.journal()).isEqualTo(bare.journal());
		assertThat(settings.membership()).isEqualTo(bare.membership());
		assertThat(settings.configuration()).isEqualTo(bare.configuration());
		assertThat(settings.stop()).isEqualTo(bare.stop());
	}

	@Test
	void reportsAllFaults() {
		InvalidDocumentException error = catchThrowableOfType(InvalidDocumentException.class, () -> this.reader.read("""
				fleet: 'two words'
				daemon: entry-1
				callerAddress: localhost:8080
				operatorAddress: 10.0.0.1:0
				peerAddress: 10.0.0.1:8082
				operatorToken: short
				platform: {logService: 10.0.0.9:7070}
				callers: {keepTime: 10}
				colour: blue
				"""));
		assertThat(error.faults()).extracting(DocumentFault::path)
			.containsExactlyInAnyOrder("fleet", "failureDomain", "callerAddress", "operatorAddress", "operatorToken",
					"platform.vmList", "callers.keepTime", "colour", "peerKeys");
		assertThat(error.faults()).filteredOn((fault) -> fault.path().equals("callerAddress"))
			.singleElement()
			.satisfies((fault) -> {
				assertThat(fault.line()).isEqualTo(3);
				assertThat(fault.found()).isEqualTo("'localhost:8080'");
				assertThat(fault.remedy()).contains("10.0.0.1:8080").contains("not a host name");
			});
	}

	@Test
	void doesNotRevealSecrets() {
		InvalidDocumentException error = catchThrowableOfType(InvalidDocumentException.class,
				() -> this.reader.read(VALID.replace("operatorToken: 0123456789abcdef", "operatorToken: hush-hush")));
		assertThat(error.getMessage()).doesNotContain("hush").contains("9 characters");
	}

	@ParameterizedTest
	@EnumSource
	void refuses(Fault fault) {
		InvalidDocumentException error = catchThrowableOfType(InvalidDocumentException.class,
				() -> this.reader.read(fault.text));
		assertThat(error.faults()).extracting(DocumentFault::path).containsExactly(fault.path);
	}

	enum Fault {

		LINGER_NOT_ABOVE_KEEP_TIME(VALID + "callers: {keepTime: 15s}", "stop"),
		STOP_LIMIT_BELOW_LINGER(VALID + "stop: {limit: 10s}", "stop"),
		LEAVING_DELAY_TOO_LONG(VALID + "scheduling: {loadReportInterval: 2s}", "scheduling"),
		TAKEOVER_AFTER_REPLAY_WINDOW(VALID + "journal: {replayWindow: 1m, takeoverAfter: 1m}", "journal"),
		REPLAY_WINDOW_BELOW_BODY_TIMEOUT(VALID + "journal: {replayWindow: 20s}", "journal"),
		PROBE_TIMEOUT_ABOVE_INTERVAL(VALID + "membership: {probeTimeout: 500ms}", "membership"),
		SUSPICION_BELOW_INTERVAL(VALID + "membership: {suspicionTimeout: 100ms}", "membership"),
		SHORT_PEER_KEY(VALID.replace("[0123456789abcdef0123456789abcdef]",
				"[0123456789abcdef0123456789abcdef, short]"), "peerKeys[1]"),
		NO_PEER_KEYS(VALID.replace("[0123456789abcdef0123456789abcdef]", "[]"), "peerKeys"),
		SAME_PEER_KEY_TWICE(VALID.replace("[0123456789abcdef0123456789abcdef]",
				"[0123456789abcdef0123456789abcdef, 0123456789abcdef0123456789abcdef]"), "peerKeys"),
		SAME_ADDRESS_TWICE(VALID.replace("10.0.0.1:8081", "10.0.0.1:8080"), "operatorAddress"),
		ADDRESS_OUT_OF_RANGE(VALID.replace("10.0.0.1:8080", "10.0.0.256:8080"), "callerAddress"),
		ADDRESS_UNSPECIFIED(VALID.replace("10.0.0.1:8080", "0.0.0.0:8080"), "callerAddress"),
		HOST_NAME_OF_HEX_DIGITS(VALID.replace("10.0.0.1:8080", "dead:8080"), "callerAddress"),
		IPV6_MALFORMED(VALID.replace("[fd00::1]", "[fd00::1::2]"), "peerAddress"),
		NUMBER_IN_OCTAL(VALID + "callers: {maximumInFlight: 010}", "callers.maximumInFlight"),
		NUMBER_TOO_LARGE(VALID + "journal: {partitions: 99999999999999999999}", "journal.partitions"),
		LIST_FOR_A_SECTION(VALID + "stop: [15s]", "stop"),
		SECTION_FOR_A_VALUE(VALID + "stop: {linger: {a: b}}", "stop.linger"),
		EMPTY_VALUE(VALID.replace("fleet: bagmati", "fleet:"), "fleet"),
		DUPLICATE_KEY(VALID + "daemon: entry-2", "daemon"),
		DUPLICATE_NESTED(VALID + "stop: {limit: 0s, limit: 0s}", "stop.limit"),
		UNKNOWN_NESTED(VALID + "stop: {lingers: 15s}", "stop.lingers");

		private final String text;

		private final String path;

		Fault(String text, String path) {
			this.text = text;
			this.path = path;
		}

	}

}
