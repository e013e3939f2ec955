package org.sardineport.core.configuration;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.configuration.PublicationRules.Decision;
import org.sardineport.core.identity.ProfileName;

import static org.assertj.core.api.Assertions.assertThat;

class PublicationRulesTests {

	private final PublicationRules rules = PublicationRules.of(TestProfiles.PARSER);

	/** Profile a from version 10, b from version 20, and c retired in version 30. */
	private final ConfigurationState state = stateOf(publication(10, TestProfiles.document("a", "1")),
			publication(20, TestProfiles.document("b", "1"), TestProfiles.document("c", "1")),
			new PublicationAtOffset(30, TestProfiles.retire("t30", 20, "c")));

	@ParameterizedTest
	@EnumSource
	void returnsExpectedVerdict(Case example) {
		Decision decision = this.rules.evaluate(this.state, example.offset, example.publication);
		assertThat(decision.verdict().kind()).isEqualTo(example.kind);
		if (example.kind == VerdictKind.ACCEPTED) {
			assertThat(decision.next().version()).isEqualTo(example.offset);
		}
		else {
			assertThat(decision.next()).isSameAs(this.state);
			assertThat(decision.verdict().reason()).isNotEmpty();
			assertThat(decision.verdict().remedy()).isNotEmpty();
		}
		assertThat(this.rules.evaluate(this.state, example.offset, example.publication)).isEqualTo(decision);
	}

	@Test
	void publicationOfSeveralProfilesIsAppliedAsAWhole() {
		Publication mixed = new Publication("t", 30,
				List.of(TestProfiles.document("a", "2"), TestProfiles.document("d", "1")), List.of(ProfileName.of("b")),
				"test");
		ConfigurationState next = this.rules.evaluate(this.state, 40, mixed).next();
		assertThat(next.profiles()).containsOnlyKeys(ProfileName.of("a"), ProfileName.of("d"));
		assertThat(next.profile(ProfileName.of("a")).orElseThrow().text()).isEqualTo("a 2");
	}

	@Test
	void acceptedPublicationNeverTakesEffectTwice() {
		Publication publication = TestProfiles.publish("t", 30, TestProfiles.document("d", "1"));
		ConfigurationState next = this.rules.evaluate(this.state, 40, publication).next();
		assertThat(this.rules.evaluate(next, 41, publication).verdict().kind()).isEqualTo(VerdictKind.CONFLICT);
		ConfigurationState retired = this.rules.evaluate(next, 42, TestProfiles.retire("r", 40, "d")).next();
		assertThat(this.rules.evaluate(retired, 43, publication).verdict().kind()).isEqualTo(VerdictKind.CONFLICT);
	}

	@Test
	void conflictIsDetectedAfterManyRetirements() {
		ConfigurationState next = this.state;
		long offset = 100;
		for (int i = 0; i < 2 * ConfigurationState.MAX_RETIREMENTS; i++) {
			Publication published = TestProfiles.publish("p" + i, next.version(), TestProfiles.document("p" + i, "1"));
			next = this.rules.evaluate(next, offset, published).next();
			offset++;
			next = this.rules.evaluate(next, offset, TestProfiles.retire("r" + i, next.version(), "p" + i)).next();
			offset++;
		}
		assertThat(next.version()).isEqualTo(offset - 1);
		Publication late = TestProfiles.publish("late", 30, TestProfiles.document("c", "back"));
		assertThat(this.rules.evaluate(next, offset, late).verdict().kind()).isEqualTo(VerdictKind.CONFLICT);
		Publication informed = TestProfiles.publish("informed", next.version(), TestProfiles.document("c", "back"));
		assertThat(this.rules.evaluate(next, offset, informed).verdict().kind()).isEqualTo(VerdictKind.ACCEPTED);
	}

	private static PublicationAtOffset publication(long offset, ProfileDocument... documents) {
		return new PublicationAtOffset(offset, TestProfiles.publish("t" + offset, offset - 1, documents));
	}

	private ConfigurationState stateOf(PublicationAtOffset... publications) {
		ConfigurationState next = ConfigurationState.EMPTY;
		PublicationRules all = PublicationRules.of(TestProfiles.PARSER);
		for (PublicationAtOffset publication : publications) {
			long base = Math.min(publication.publication.baseVersion(), next.version());
			Publication based = new Publication(publication.publication.token(), base,
					publication.publication.profiles(), publication.publication.retired(), "test");
			Decision decision = all.evaluate(next, publication.offset, based);
			assertThat(decision.verdict().isAccepted()).isTrue();
			next = decision.next();
		}
		return next;
	}

	private record PublicationAtOffset(long offset, Publication publication) {
	}

	enum Case {

		NEW_PROFILE(40, VerdictKind.ACCEPTED, TestProfiles.publish("t", 30, TestProfiles.document("d", "1"))),
		REPLACED_ON_THE_NEWEST(40, VerdictKind.ACCEPTED,
				TestProfiles.publish("t", 30, TestProfiles.document("a", "2"))),
		REPLACED_WHILE_OTHERS_CHANGED_OTHER_PROFILES(40, VerdictKind.ACCEPTED,
				TestProfiles.publish("t", 10, TestProfiles.document("a", "2"))),
		REPLACED_AFTER_OTHERS_REPLACED(40, VerdictKind.CONFLICT,
				TestProfiles.publish("t", 10, TestProfiles.document("b", "2"))),
		REPLACED_AFTER_OTHERS_RETIRED(40, VerdictKind.CONFLICT,
				TestProfiles.publish("t", 20, TestProfiles.document("c", "2"))),
		PUBLISHED_ANEW_AFTER_RETIREMENT(40, VerdictKind.ACCEPTED,
				TestProfiles.publish("t", 30, TestProfiles.document("c", "2"))),
		RETIRED_AFTER_OTHERS_REPLACED(40, VerdictKind.CONFLICT, TestProfiles.retire("t", 10, "b")),
		RETIRED_AFTER_OTHERS_RETIRED(40, VerdictKind.CONFLICT, TestProfiles.retire("t", 20, "c")),
		RETIRED_ON_THE_NEWEST(40, VerdictKind.ACCEPTED, TestProfiles.retire("t", 30, "b")),
		RETIRED_UNKNOWN(40, VerdictKind.INVALID, TestProfiles.retire("t", 30, "never")),
		ONE_OF_TWO_IN_CONFLICT(40, VerdictKind.CONFLICT,
				TestProfiles.publish("t", 10, TestProfiles.document("a", "2"), TestProfiles.document("b", "2"))),
		ONE_OF_TWO_FAULTY(40, VerdictKind.INVALID,
				TestProfiles.publish("t", 30, TestProfiles.document("a", "2"), TestProfiles.document("bad", "2"))),
		NAME_UNLIKE_TEXT(40, VerdictKind.INVALID,
				TestProfiles.publish("t", 30, new ProfileDocument(ProfileName.of("a"), "b 2"))),
		SAME_PROFILE_TWICE(40, VerdictKind.INVALID,
				TestProfiles.publish("t", 30, TestProfiles.document("a", "2"), TestProfiles.document("a", "3"))),
		PUBLISHED_AND_RETIRED(40, VerdictKind.INVALID,
				new Publication("t", 30, List.of(TestProfiles.document("a", "2")), List.of(ProfileName.of("a")), "x")),
		NOTHING(40, VerdictKind.INVALID, TestProfiles.publish("t", 30)),
		NO_TOKEN(40, VerdictKind.INVALID, TestProfiles.publish("", 30, TestProfiles.document("d", "1"))),
		BASED_ON_A_VERSION_THAT_THE_LOG_LOST(40, VerdictKind.CONFLICT,
				TestProfiles.publish("t", 35, TestProfiles.document("d", "1"))),
		OFFSET_USED_BEFORE_THE_LOG_WENT_BACK(25, VerdictKind.CONFLICT,
				TestProfiles.publish("t", 20, TestProfiles.document("d", "1"))),
		TOO_MANY_CHARACTERS(40, VerdictKind.INVALID, TestProfiles.publish("t", 30,
				TestProfiles.document("d", "x".repeat((int) PublicationRules.MAX_CHARACTERS))));

		private final long offset;

		private final VerdictKind kind;

		private final Publication publication;

		Case(long offset, VerdictKind kind, Publication publication) {
			this.offset = offset;
			this.kind = kind;
			this.publication = publication;
		}

	}

}
