package org.sardineport.core.configuration;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RecentChangesTests {

	private final PublicationRules rules = PublicationRules.of(TestProfiles.PARSER);

	private final RecentChanges changes = RecentChanges.create();

	@ParameterizedTest
	@CsvSource(nullValues = "null", value = { "'',''", "'',abc", "abc,''", "abc,abc", "abc,abXc", "abc,Xbc", "abc,abX",
			"aaa,aa", "aa,aaaa", "abcabc,abc", "abc,abcabc", "abc,xyz" })
	void patchTurnsOneTextIntoTheOther(String before, String after) {
		TextPatch patch = TextPatch.between(before, after);
		assertThat(patch.apply(before)).isEqualTo(after);
	}

	@ParameterizedTest
	@CsvSource({ "a\uD83D\uDE00b,a\uD83D\uDE01b", "\uD83D\uDE00,\uD83C\uDE00",
			"\uD83D\uDE00,\uD83D\uDE00\uD83D\uDE00" })
	void patchDoesNotSplitSurrogatePairs(String before, String after) {
		TextPatch patch = TextPatch.between(before, after);
		assertThat(patch.apply(before)).isEqualTo(after);
		byte[] encoded = patch.middle().getBytes(StandardCharsets.UTF_8);
		assertThat(new String(encoded, StandardCharsets.UTF_8)).isEqualTo(patch.middle());
	}

	@Test
	void sendsPatchToReceiverOfPreviousText() {
		ConfigurationState first = next(ConfigurationState.EMPTY, 0, "x".repeat(1000) + "1");
		ConfigurationState second = next(first, 1, "x".repeat(1000) + "2");
		this.changes.recordChanges(ConfigurationState.EMPTY, first);
		this.changes.recordChanges(first, second);
		ConfigurationImage image = this.changes.withPatches(second.image(1, 0));
		assertThat(image.profiles()).isEmpty();
		assertThat(image.patches()).singleElement()
			.satisfies((patch) -> assertThat(patch.patch().middle()).isEqualTo("2"));
	}

	@Test
	void sendsFullTextToReceiverOfOlderText() {
		ConfigurationState first = next(ConfigurationState.EMPTY, 0, "1");
		ConfigurationState second = next(first, 1, "2");
		ConfigurationState third = next(second, 2, "3");
		this.changes.recordChanges(first, second);
		this.changes.recordChanges(second, third);
		assertThat(this.changes.withPatches(third.image(2, 0)).profiles()).hasSize(1);
		assertThat(this.changes.withPatches(third.image(2, 1)).profiles()).isEmpty();
		assertThat(this.changes.withPatches(third.image(2, -1)).profiles()).hasSize(1);
	}

	private ConfigurationState next(ConfigurationState state, long offset, String text) {
		return this.rules
			.evaluate(state, offset,
					TestProfiles.publish("t" + offset, state.version(), TestProfiles.document("a", text)))
			.next();
	}

}
