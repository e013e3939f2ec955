package org.sardineport.settings.profile;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.configuration.ProfileParser;
import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.profile.AcceptedTokens;
import org.sardineport.core.profile.OrganisationPolicy;
import org.sardineport.core.profile.Profile;
import org.sardineport.core.profile.Route;
import org.sardineport.core.request.Tier;
import org.sardineport.settings.yaml.DocumentLimits;
import org.sardineport.settings.yaml.FaultList;
import org.sardineport.settings.yaml.Formats;
import org.sardineport.settings.yaml.ScalarFormat;
import org.sardineport.settings.yaml.Section;
import org.sardineport.settings.yaml.YamlDocument;

/**
 * Parses profiles in YAML. Deterministic: the same text yields the same profile or the
 * same faults on every daemon. Thread-safe.
 */
public final class ProfileReader implements ProfileParser {

	private static final DocumentLimits LIMITS = new DocumentLimits(256 * 1024, 20_000, 6);

	private static final int MAX_ROUTES = 256;

	private static final int MAX_ORGANISATIONS = 2000;

	private static final int MAX_TOKEN_HASHES = 8;

	private static final Duration MIN_DEADLINE = Duration.ofMillis(10);

	private static final Duration MAX_DEADLINE = Duration.ofHours(24);

	private static final int DEFAULT_MAX_BODY_BYTES = 1024 * 1024;

	private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

	private static final int MAX_ANSWER_TOKENS = 1_000_000;

	private static final long MAX_TOKENS_PER_SECOND = 1_000_000_000;

	private static final ScalarFormat<String> METHOD = Formats
		.matching("an HTTP method in upper case, or '*' in quotes", Pattern.compile("[A-Z]{1,16}|\\*"));

	private static final ScalarFormat<String> PATH = Formats.matching(
			"a path that begins with /, without query, '..', '//' or spaces; a trailing /* matches all below it",
			Pattern.compile("(?!.*//)(?!.*/\\.\\.?(/|$))/([A-Za-z0-9._~!$&'()+,;=:@%/-]{0,255}/\\*"
					+ "|[A-Za-z0-9._~!$&'()+,;=:@%/-]{0,255}|\\*)"));

	private static final ScalarFormat<String> TOKEN_HASH = ScalarFormat
		.secret("the SHA-256 hash of a token, 64 lower-case hexadecimal digits", (text) -> {
			if (!text.matches("[0-9a-f]{64}")) {
				throw new IllegalArgumentException("value must be a SHA-256 hash");
			}
			return text;
		});

	private ProfileReader() {
	}

	/**
	 * Creates a reader.
	 * @return the reader, which has no state
	 */
	public static ProfileReader create() {
		return new ProfileReader();
	}

	/**
	 * Parses a profile.
	 * @param yaml the text of the profile
	 * @return the profile
	 * @throws InvalidDocumentException if the text is invalid; contains all faults found
	 */
	@Override
	public Profile parse(String yaml) throws InvalidDocumentException {
		Objects.requireNonNull(yaml, "yaml must not be null");
		FaultList faults = FaultList.create();
		Section root = YamlDocument.read("profile", yaml, LIMITS, faults);
		ProfileName name = root.required("name", Formats.name(ProfileName::of));
		List<Route> routes = root.sections("routes", MAX_ROUTES, ProfileReader::route);
		Map<OrganisationId, OrganisationPolicy> organisations = organisations(root);
		root.rejectUnknownKeys();
		checkShadowing(root, routes);
		if (faults.isEmpty() && routes.isEmpty()) {
			root.fault("routes", "no route", "write at least one route");
		}
		if (faults.isEmpty() && organisations.isEmpty()) {
			root.fault("organisations", "no organisation", "write at least one organisation");
		}
		faults.throwIfAny("profile");
		return new Profile(Objects.requireNonNull(name), routes, organisations);
	}

	private static @Nullable Route route(Section section) {
		String method = section.optional("method", METHOD, Route.ANY_METHOD);
		String path = section.required("path", PATH);
		PoolName pool = section.required("pool", Formats.name(PoolName::of));
		Tier tier = section.required("tier", Formats.constant(Tier.class));
		Duration deadline = section.required("deadline", Formats.duration(MIN_DEADLINE, MAX_DEADLINE));
		boolean nonIdempotent = section.optional("nonIdempotent", Formats.bool(), false);
		boolean durable = section.optional("durable", Formats.bool(), false);
		int bodyBytes = section.optional("maximumBodyBytes", Formats.integer(0, MAX_BODY_BYTES),
				DEFAULT_MAX_BODY_BYTES);
		int answerTokens = section.optional("answerTokens", Formats.integer(0, MAX_ANSWER_TOKENS), 0);
		section.rejectUnknownKeys();
		if (path == null || pool == null || tier == null || deadline == null) {
			return null;
		}
		return new Route(method, path, pool, tier, deadline, nonIdempotent, durable, bodyBytes, answerTokens);
	}

	private static Map<OrganisationId, OrganisationPolicy> organisations(Section root) {
		Map<OrganisationId, OrganisationPolicy> result = new LinkedHashMap<>();
		root.sections("organisations", MAX_ORGANISATIONS, (section) -> {
			OrganisationPolicy policy = organisation(section);
			if (policy != null && result.putIfAbsent(policy.organisation(), policy) != null) {
				section.fault("name", "a duplicate organisation '%s'".formatted(policy.organisation()),
						"keep one of the two");
			}
			return policy;
		});
		return result;
	}

	private static @Nullable OrganisationPolicy organisation(Section section) {
		OrganisationId name = section.required("name", Formats.name(OrganisationId::of));
		long limit = section.optional("tokensPerSecond", Formats.longInteger(0, MAX_TOKENS_PER_SECOND), 0L);
		List<String> hashes = section.list("tokenHashes", TOKEN_HASH, MAX_TOKEN_HASHES);
		AcceptedTokens tokens = section.has("tokenHashes") ? AcceptedTokens.required(hashes)
				: AcceptedTokens.notRequired();
		section.rejectUnknownKeys();
		return (name != null) ? new OrganisationPolicy(name, limit, tokens) : null;
	}

	private static void checkShadowing(Section root, List<Route> routes) {
		for (int later = 1; later < routes.size(); later++) {
			for (int earlier = 0; earlier < later; earlier++) {
				if (RouteCoverage.covers(routes.get(earlier), routes.get(later))) {
					root.fault("routes",
							"%s %s after %s %s, which matches all its requests".formatted(routes.get(later).method(),
									routes.get(later).path(), routes.get(earlier).method(), routes.get(earlier).path()),
							"move the more specific route before the more general one, or remove it");
					break;
				}
			}
		}
	}

}
