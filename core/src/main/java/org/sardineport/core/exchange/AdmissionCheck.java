package org.sardineport.core.exchange;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.configuration.ConfigurationSnapshot;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.journal.IdempotencyKey;
import org.sardineport.core.journal.IdempotencyKeys;
import org.sardineport.core.journal.KeyParseResult;
import org.sardineport.core.profile.AcceptedTokens;
import org.sardineport.core.profile.OrganisationPolicy;
import org.sardineport.core.profile.Profile;
import org.sardineport.core.profile.Route;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * Validates the head of a request against the configuration in force: profile,
 * organisation, token, route and key. Immutable.
 */
public final class AdmissionCheck {

	private final IdempotencyKeys keys;

	private AdmissionCheck(IdempotencyKeys keys) {
		this.keys = keys;
	}

	/**
	 * Returns a check.
	 * @param keys parses the idempotency keys of keyed routes
	 * @return the check
	 */
	public static AdmissionCheck create(IdempotencyKeys keys) {
		return new AdmissionCheck(Objects.requireNonNull(keys, "keys must not be null"));
	}

	/**
	 * Checks the head of a request that is to be run.
	 * @param configuration the configuration under which the request is admitted
	 * @param method its HTTP method
	 * @param pathAndQuery its path with query
	 * @param headers its header fields
	 * @param now the current time, against which the age of a key is checked
	 * @return the admission
	 * @throws RefusedException if the request must not run
	 */
	public Admission check(ConfigurationSnapshot configuration, String method, String pathAndQuery,
			HeaderValues headers, Instant now) throws RefusedException {
		Profile profile = profile(configuration, headers);
		OrganisationPolicy organisation = organisation(profile, headers);
		Route route = route(profile, method, pathAndQuery);
		return new Admission(profile.name(), route, organisation,
				key(route, organisation.organisation(), headers, now));
	}

	/**
	 * Checks the sender of a request, regardless of its path.
	 * @param configuration the configuration in force
	 * @param headers the request's header fields
	 * @return the policy of the named profile for the organisation
	 * @throws RefusedException if the profile, organisation or token is missing or not
	 * valid
	 */
	public static OrganisationPolicy checkOrganisation(ConfigurationSnapshot configuration, HeaderValues headers)
			throws RefusedException {
		return organisation(profile(configuration, headers), headers);
	}

	private static Profile profile(ConfigurationSnapshot configuration, HeaderValues headers) throws RefusedException {
		ProfileName name = required(headers, HeaderNames.PROFILE, ProfileName::of);
		Optional<Profile> profile = configuration.profile(name);
		if (profile.isEmpty()) {
			throw refused(RefusalReason.UNKNOWN_PROFILE, "No profile '%s' is in force.".formatted(name));
		}
		return profile.get();
	}

	private static OrganisationPolicy organisation(Profile profile, HeaderValues headers) throws RefusedException {
		OrganisationId id = required(headers, HeaderNames.ORGANISATION, OrganisationId::of);
		Optional<OrganisationPolicy> policy = profile.organisation(id);
		if (policy.isEmpty()) {
			throw refused(RefusalReason.UNKNOWN_ORGANISATION,
					"Profile '%s' has no organisation '%s'.".formatted(profile.name(), id));
		}
		AcceptedTokens tokens = policy.get().tokens();
		if (tokens.areRequired() && !BearerTokens.isAccepted(tokens.hashes(), headers)) {
			throw refused(RefusalReason.UNAUTHORIZED, "The organisation's bearer token is missing or wrong.");
		}
		return policy.get();
	}

	private static Route route(Profile profile, String method, String pathAndQuery) throws RefusedException {
		String path = RequestPaths.path(pathAndQuery);
		if (!RequestPaths.isNormalized(path) || !RequestPaths.isPrintable(pathAndQuery)) {
			throw refused(RefusalReason.NO_ROUTE, "The path holds dot segments, empty segments or encoded slashes.");
		}
		return profile.route(method, path)
			.orElseThrow(() -> refused(RefusalReason.NO_ROUTE,
					"Profile '%s' has no route for this method and path.".formatted(profile.name())));
	}

	private @Nullable IdempotencyKey key(Route route, OrganisationId organisation, HeaderValues headers, Instant now)
			throws RefusedException {
		if (!route.isKeyed()) {
			return null;
		}
		KeyParseResult reading = this.keys.read(organisation, optional(headers, HeaderNames.IDEMPOTENCY_KEY),
				optional(headers, HeaderNames.ISSUED_AT), now);
		if (reading instanceof KeyParseResult.Valid valid) {
			return valid.key();
		}
		throw RefusedException.of(((KeyParseResult.Refused) reading).refusal());
	}

	private static <T> T required(HeaderValues headers, String name, Function<String, T> parser)
			throws RefusedException {
		String value = optional(headers, name);
		if (value == null) {
			throw refused(RefusalReason.MISSING_HEADER, "The header %s is missing.".formatted(name));
		}
		try {
			return parser.apply(value);
		}
		catch (IllegalArgumentException ex) {
			throw refused(RefusalReason.INVALID_HEADER, "The header %s is not valid.".formatted(name));
		}
	}

	private static @Nullable String optional(HeaderValues headers, String name) throws RefusedException {
		List<String> values = headers.all(name);
		if (values.size() > 1) {
			throw refused(RefusalReason.INVALID_HEADER, "The header %s is there more than once.".formatted(name));
		}
		return (values.isEmpty()) ? null : Objects.requireNonNull(values.get(0)).strip();
	}

	private static RefusedException refused(RefusalReason reason, String detail) {
		return RefusedException.of(Refusal.of(reason, detail));
	}

}
