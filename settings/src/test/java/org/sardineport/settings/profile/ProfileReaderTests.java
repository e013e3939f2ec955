package org.sardineport.settings.profile;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.error.DocumentFault;
import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.profile.AcceptedTokens;
import org.sardineport.core.profile.Profile;
import org.sardineport.core.profile.Route;
import org.sardineport.core.request.Tier;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class ProfileReaderTests {

	private static final String ROUTE = "routes: [{path: /a, pool: p, tier: urgent, deadline: 1s}]\n";

	private static final String ORGANISATION = "organisations: [{name: o}]\n";

	private final ProfileReader reader = ProfileReader.create();

	@Test
	void readsAllValues() throws InvalidDocumentException {
		Profile profile = this.reader.parse("""
				name: ledger
				routes:
				  - method: POST
				    path: /postings
				    pool: p
				    tier: batch
				    deadline: 1500ms
				    nonIdempotent: true
				    durable: true
				    maximumBodyBytes: 10
				    answerTokens: 20
				organisations:
				  - name: o
				    tokensPerSecond: 30
				    tokenHashes: [%s]
				""".formatted("a".repeat(64)));
		assertThat(profile.routes()).containsExactly(new Route("POST", "/postings", PoolName.of("p"), Tier.BATCH,
				Duration.ofMillis(1500), true, true, 10, 20));
		assertThat(profile.organisation(OrganisationId.of("o")).orElseThrow().tokensPerSecond()).isEqualTo(30);
		assertThat(profile.organisation(OrganisationId.of("o")).orElseThrow().tokens())
			.isEqualTo(AcceptedTokens.required(List.of("a".repeat(64))));
	}

	/**
	 * Guards against an organisation that becomes open once its last token is removed.
	 */
	@Test
	void emptyListOfTokensStillRequiresOne() throws InvalidDocumentException {
		assertThat(tokens("{name: o, tokenHashes: []}")).isEqualTo(AcceptedTokens.required(List.of()));
		assertThat(tokens("{name: o}")).isEqualTo(AcceptedTokens.notRequired());
	}

	private AcceptedTokens tokens(String organisation) throws InvalidDocumentException {
		Profile profile = this.reader.parse("name: n\n" + ROUTE + "organisations: [" + organisation + "]");
		return profile.organisation(OrganisationId.of("o")).orElseThrow().tokens();
	}

	@ParameterizedTest
	@ValueSource(strings = { "bagmati", "lexica" })
	void commentedExampleIsValid(String name) throws IOException, InvalidDocumentException {
		String text = Files.readString(Path.of("../docs/examples/profile-" + name + ".yaml"));
		Profile profile = this.reader.parse(text);
		assertThat(profile.name().value()).isEqualTo(name);
		assertThat(profile.routes()).anyMatch(Route::nonIdempotent).anyMatch(Route::durable);
		assertThat(profile.organisations()).hasSize(5);
	}

	@Test
	void reportsAllFaults() {
		InvalidDocumentException error = catchThrowableOfType(InvalidDocumentException.class,
				() -> this.reader.parse("""
						name: ledger
						routes:
						  - {path: postings, pool: p, tier: fast, deadline: 1 s}
						  - {path: /x, tier: urgent, deadline: 1s, nonidempotent: true}
						organisations:
						  - {name: o, tokensPerSecond: -1, tokenHashes: [secret-token]}
						"""));
		assertThat(error.faults()).extracting(DocumentFault::path)
			.containsExactlyInAnyOrder("routes[0].path", "routes[0].tier", "routes[0].deadline", "routes[1].pool",
					"routes[1].nonidempotent", "organisations[0].tokensPerSecond", "organisations[0].tokenHashes[0]");
		assertThat(error.getMessage()).doesNotContain("secret-token").contains("urgent, interactive, standard, batch");
	}

	@ParameterizedTest
	@EnumSource
	void refuses(Fault fault) {
		InvalidDocumentException error = catchThrowableOfType(InvalidDocumentException.class,
				() -> this.reader.parse("name: n\n" + fault.text));
		assertThat(error.faults()).extracting(DocumentFault::path).containsExactly(fault.path);
	}

	enum Fault {

		NO_ROUTE("routes: []\n" + ORGANISATION, "routes"), NO_ORGANISATION(ROUTE, "organisations"),
		SAME_ORGANISATION_TWICE(ROUTE + "organisations: [{name: o}, {name: o}]", "organisations[1].name"),
		UNREACHABLE_ROUTE("routes: [{path: '/*', pool: p, tier: urgent, deadline: 1s}, "
				+ "{path: /a, pool: p, tier: urgent, deadline: 1s}]\n" + ORGANISATION, "routes"),
		NON_IDEMPOTENT_SPELT_AS_YES(
				ORGANISATION + "routes: [{path: /a, pool: p, tier: urgent, deadline: 1s, nonIdempotent: yes}]",
				"routes[0].nonIdempotent"),
		TIER_IN_UPPER_CASE(ORGANISATION + "routes: [{path: /a, pool: p, tier: URGENT, deadline: 1s}]",
				"routes[0].tier"),
		PATH_WITH_DOTS(ORGANISATION + "routes: [{path: /a/../b, pool: p, tier: urgent, deadline: 1s}]",
				"routes[0].path"),
		PATH_WITH_QUERY(ORGANISATION + "routes: [{path: '/a?b', pool: p, tier: urgent, deadline: 1s}]",
				"routes[0].path"),
		STAR_INSIDE_PATH(ORGANISATION + "routes: [{path: '/a/*/b', pool: p, tier: urgent, deadline: 1s}]",
				"routes[0].path"),
		DEADLINE_OF_ZERO(ORGANISATION + "routes: [{path: /a, pool: p, tier: urgent, deadline: 0s}]",
				"routes[0].deadline"),
		TOKEN_IN_PLACE_OF_HASH(ROUTE + "organisations: [{name: o, tokenHashes: [open-sesame]}]",
				"organisations[0].tokenHashes[0]"),
		HASH_IN_UPPER_CASE(ROUTE + "organisations: [{name: o, tokenHashes: [" + "A".repeat(64) + "]}]",
				"organisations[0].tokenHashes[0]"),
		ROUTES_AS_A_SECTION("routes: {path: /a}\n" + ORGANISATION, "routes");

		private final String text;

		private final String path;

		Fault(String text, String path) {
			this.text = text;
			this.path = path;
		}

	}

}
