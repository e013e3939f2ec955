package org.sardineport.core.publishing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.configuration.ConfigurationImage;
import org.sardineport.core.configuration.ConfigurationReplica;
import org.sardineport.core.configuration.ConfigurationState;
import org.sardineport.core.configuration.ImageCodec;
import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.configuration.ProfileParser;
import org.sardineport.core.configuration.Publication;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.profile.AcceptedTokens;
import org.sardineport.core.profile.OrganisationPolicy;
import org.sardineport.core.profile.Profile;
import org.sardineport.core.profile.Route;
import org.sardineport.core.request.Tier;

import static org.assertj.core.api.Assertions.assertThat;

class PublicationPlanTests {

	private static final ProfileName NAME = ProfileName.of("ledger");

	private static final Route ROUTE = new Route("POST", "/postings", PoolName.of("ledger"), Tier.URGENT,
			Duration.ofSeconds(30), true, true, 10_000, 0);

	private static final OrganisationPolicy POLICY = new OrganisationPolicy(OrganisationId.of("valuers"), 1000,
			AcceptedTokens.required(List.of("h1", "h2")));

	private static final Profile BEFORE = profile(ROUTE, POLICY);

	private static final ImageCodec NO_IMAGES = new ImageCodec() {

		@Override
		public byte[] encode(ConfigurationImage image) {
			return new byte[0];
		}

		@Override
		public Optional<ConfigurationImage> decode(byte[] bytes) {
			return Optional.empty();
		}

	};

	private static Profile profile(Route route, OrganisationPolicy policy) {
		return new Profile(NAME, List.of(route), Map.of(policy.organisation(), policy));
	}

	private static PublicationPlan plan(Profile after, Set<PoolName> pools) {
		ProfileParser parser = (text) -> text.equals("before") ? BEFORE : after;
		PublicationDraft draft = new PublicationDraft(List.of(), List.of(new ProfileDocument(NAME, "after")), List.of(),
				OptionalLong.empty());
		return PublicationPlan.of(inForce(parser), draft, pools, parser);
	}

	private static ConfigurationState inForce(ProfileParser parser) {
		ConfigurationReplica replica = ConfigurationReplica.create(parser, NO_IMAGES);
		replica.apply(0, new Publication("t", -1, List.of(new ProfileDocument(NAME, "before")), List.of(), "test"));
		return replica.state();
	}

	@ParameterizedTest
	@EnumSource
	void riskyChangeCausesWarning(Change change) {
		PublicationPlan plan = plan(change.after.apply(BEFORE), Set.of(PoolName.of("ledger")));
		assertThat(plan.faults()).isEmpty();
		assertThat(plan.isEmpty()).isFalse();
		assertThat(plan.warnings()).extracting(RiskyChangeWarning::riskyChange).containsExactly(change.riskyChange);
	}

	@Test
	void ordinaryChangesCauseNoWarning() {
		PublicationPlan plan = plan(profile(Change.route(Tier.URGENT, 20, true, true, 5000, "ledger"),
				new OrganisationPolicy(POLICY.organisation(), 500, AcceptedTokens.required(List.of("h2", "h3")))),
				Set.of());
		assertThat(plan.warnings()).isEmpty();
		assertThat(plan.differences()).singleElement()
			.satisfies((difference) -> assertThat(difference.lines()).containsExactly(
					"~ route POST /postings deadline: PT30S -> PT20S",
					"~ route POST /postings maximumBodyBytes: 10000 -> 5000",
					"~ organisation valuers tokensPerSecond: 1000 -> 500",
					"~ organisation valuers tokenHashes: 2 -> 2, 1 of them kept"));
	}

	@Test
	void unchangedProfileGivesEmptyPlan() {
		assertThat(plan(BEFORE, Set.of()).isEmpty()).isTrue();
	}

	@Test
	void retirementCausesWarning() {
		ProfileParser parser = (text) -> BEFORE;
		PublicationPlan plan = PublicationPlan.of(inForce(parser),
				new PublicationDraft(List.of(), List.of(), List.of(NAME), OptionalLong.empty()), Set.of(), parser);
		assertThat(plan.warnings()).extracting(RiskyChangeWarning::riskyChange)
			.containsExactly(RiskyChange.PROFILE_RETIRED);
	}

	@Test
	void inapplicableDraftsAreReportedAsFaults() {
		ProfileParser parser = (text) -> BEFORE;
		ProfileDocument document = new ProfileDocument(NAME, "x");
		PublicationDraft alreadyInForce = new PublicationDraft(List.of(document), List.of(), List.of(),
				OptionalLong.empty());
		assertThat(PublicationPlan.of(inForce(parser), alreadyInForce, Set.of(), parser).faults()).hasSize(1);
		PublicationDraft notInForce = new PublicationDraft(List.of(), List.of(document), List.of(NAME),
				OptionalLong.empty());
		assertThat(PublicationPlan.of(ConfigurationState.EMPTY, notInForce, Set.of(), parser).faults()).hasSize(3);
		PublicationDraft empty = new PublicationDraft(List.of(), List.of(), List.of(), OptionalLong.empty());
		assertThat(PublicationPlan.of(ConfigurationState.EMPTY, empty, Set.of(), parser).faults()).hasSize(1);
	}

	enum Change {

		NON_IDEMPOTENT_DROPPED(RiskyChange.NON_IDEMPOTENT_DROPPED,
				(before) -> profile(route(Tier.URGENT, 30, false, true, 10_000, "ledger"), POLICY)),
		DURABLE_DROPPED(RiskyChange.DURABLE_DROPPED,
				(before) -> profile(route(Tier.URGENT, 30, true, false, 10_000, "ledger"), POLICY)),
		TIER_LOWERED(RiskyChange.TIER_LOWERED,
				(before) -> profile(route(Tier.BATCH, 30, true, true, 10_000, "ledger"), POLICY)),
		DEADLINE_REDUCED_TO_TENTH(RiskyChange.DEADLINE_CUT,
				(before) -> profile(route(Tier.URGENT, 3, true, true, 10_000, "ledger"), POLICY)),
		BODY_LIMIT_REDUCED_TO_TENTH(RiskyChange.BODY_LIMIT_CUT,
				(before) -> profile(route(Tier.URGENT, 30, true, true, 1000, "ledger"), POLICY)),
		POOL_MISSPELT(RiskyChange.POOL_UNKNOWN,
				(before) -> profile(route(Tier.URGENT, 30, true, true, 10_000, "leger"), POLICY)),
		ROUTE_REMOVED(RiskyChange.ROUTE_REMOVED, (before) -> new Profile(NAME, List.of(), before.organisations())),
		LIMIT_REDUCED_TO_TENTH(RiskyChange.LIMIT_CUT,
				(before) -> profile(ROUTE, new OrganisationPolicy(POLICY.organisation(), 100, POLICY.tokens()))),
		ORGANISATION_REMOVED(RiskyChange.ORGANISATION_REMOVED, (before) -> new Profile(NAME, List.of(ROUTE), Map.of())),
		TOKENS_REMOVED(RiskyChange.TOKEN_CHECK_DROPPED,
				(before) -> profile(ROUTE,
						new OrganisationPolicy(POLICY.organisation(), 1000, AcceptedTokens.notRequired()))),
		ALL_TOKENS_REMOVED(RiskyChange.ALL_TOKENS_REPLACED,
				(before) -> profile(ROUTE,
						new OrganisationPolicy(POLICY.organisation(), 1000, AcceptedTokens.required(List.of())))),
		TOKENS_REPLACED(RiskyChange.ALL_TOKENS_REPLACED, (before) -> profile(ROUTE,
				new OrganisationPolicy(POLICY.organisation(), 1000, AcceptedTokens.required(List.of("h3")))));

		private final RiskyChange riskyChange;

		private final Function<Profile, Profile> after;

		Change(RiskyChange riskyChange, Function<Profile, Profile> after) {
			this.riskyChange = riskyChange;
			this.after = after;
		}

		private static Route route(Tier tier, int seconds, boolean nonIdempotent, boolean durable, int bytes,
				String pool) {
			return new Route("POST", "/postings", PoolName.of(pool), tier, Duration.ofSeconds(seconds), nonIdempotent,
					durable, bytes, 0);
		}

	}

}
