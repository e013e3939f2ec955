package org.sardineport.core.publishing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.profile.OrganisationPolicy;
import org.sardineport.core.profile.Profile;
import org.sardineport.core.profile.Route;

/**
 * Lists the differences between two versions of a profile and warns of risky changes.
 */
final class ProfileComparison {

	/** A reduction by this factor or more is reported as a probable mistake. */
	private static final int LARGE_REDUCTION_FACTOR = 10;

	private final ProfileName name;

	private final List<String> lines = new ArrayList<>();

	private final List<RiskyChangeWarning> warnings = new ArrayList<>();

	private ProfileComparison(ProfileName name) {
		this.name = name;
	}

	/**
	 * Compares the profile in force with its new version. Routes are paired by method and
	 * path, organisations by name.
	 * @param name name of the profile
	 * @param before the profile in force, or null if there is none
	 * @param after the new version, or null if the profile is retired
	 * @return the comparison
	 */
	static ProfileComparison of(ProfileName name, @Nullable Profile before, @Nullable Profile after) {
		ProfileComparison comparison = new ProfileComparison(name);
		comparison.compareRoutes(routes(before), routes(after), after == null);
		comparison.compareOrganisations((before != null) ? before.organisations() : Map.of(),
				(after != null) ? after.organisations() : Map.of(), after == null);
		if (after == null) {
			comparison.warn(RiskyChange.PROFILE_RETIRED, "profile " + name);
		}
		return comparison;
	}

	List<String> lines() {
		return this.lines;
	}

	List<RiskyChangeWarning> warnings() {
		return this.warnings;
	}

	private static Map<String, Route> routes(@Nullable Profile profile) {
		Map<String, Route> routes = new LinkedHashMap<>();
		if (profile != null) {
			profile.routes().forEach((route) -> routes.put(route.method() + " " + route.path(), route));
		}
		return routes;
	}

	private void compareRoutes(Map<String, Route> before, Map<String, Route> after, boolean retired) {
		before.forEach((key, route) -> {
			Route next = after.get(key);
			if (next != null) {
				compareRoute("route " + key, route, next);
			}
			else {
				this.lines.add("- route " + key + " " + describe(route));
				warnUnless(retired, RiskyChange.ROUTE_REMOVED, "route " + key);
			}
		});
		after.forEach((key, route) -> {
			if (!before.containsKey(key)) {
				this.lines.add("+ route " + key + " " + describe(route));
			}
		});
		List<String> keptInOldOrder = before.keySet().stream().filter(after::containsKey).toList();
		List<String> keptInNewOrder = after.keySet().stream().filter(before::containsKey).toList();
		if (!keptInOldOrder.equals(keptInNewOrder)) {
			this.lines.add("~ order of routes: " + String.join(", ", keptInNewOrder));
		}
	}

	private void compareRoute(String place, Route before, Route after) {
		addChange(place, "pool", before.pool(), after.pool());
		addChange(place, "tier", before.tier().label(), after.tier().label());
		addChange(place, "deadline", before.deadline(), after.deadline());
		addChange(place, "nonIdempotent", before.nonIdempotent(), after.nonIdempotent());
		addChange(place, "durable", before.durable(), after.durable());
		addChange(place, "maximumBodyBytes", before.maximumBodyBytes(), after.maximumBodyBytes());
		addChange(place, "answerTokens", before.answerTokens(), after.answerTokens());
		warnIf(before.nonIdempotent() && !after.nonIdempotent(), RiskyChange.NON_IDEMPOTENT_DROPPED, place);
		warnIf(before.durable() && !after.durable(), RiskyChange.DURABLE_DROPPED, place);
		warnIf(before.tier().isMoreUrgentThan(after.tier()), RiskyChange.TIER_LOWERED, place);
		warnIf(isLargeReduction(before.deadline().toMillis(), after.deadline().toMillis()), RiskyChange.DEADLINE_CUT,
				place);
		warnIf(isLargeReduction(before.maximumBodyBytes(), after.maximumBodyBytes()), RiskyChange.BODY_LIMIT_CUT,
				place);
	}

	private void compareOrganisations(Map<OrganisationId, OrganisationPolicy> before,
			Map<OrganisationId, OrganisationPolicy> after, boolean retired) {
		new TreeMap<>(before).forEach((id, policy) -> {
			OrganisationPolicy next = after.get(id);
			if (next != null) {
				compareOrganisation("organisation " + id, policy, next);
			}
			else {
				this.lines.add("- organisation " + id);
				warnUnless(retired, RiskyChange.ORGANISATION_REMOVED, "organisation " + id);
			}
		});
		new TreeMap<>(after).forEach((id, policy) -> {
			if (!before.containsKey(id)) {
				this.lines.add("+ organisation %s tokensPerSecond=%s tokens=%d".formatted(id, formatLimit(policy),
						policy.tokens().hashes().size()));
			}
		});
	}

	private void compareOrganisation(String place, OrganisationPolicy before, OrganisationPolicy after) {
		addChange(place, "tokensPerSecond", formatLimit(before), formatLimit(after));
		List<String> hashes = after.tokens().hashes();
		if (!before.tokens().hashes().equals(hashes)) {
			this.lines.add("~ %s tokenHashes: %d -> %d, %d of them kept".formatted(place,
					before.tokens().hashes().size(), hashes.size(), keptTokenCount(before, after)));
		}
		boolean limited = after.tokensPerSecond() > 0;
		warnIf(limited && isLargeReduction(before.tokensPerSecond(), after.tokensPerSecond()), RiskyChange.LIMIT_CUT,
				place);
		boolean wasRequired = before.tokens().areRequired();
		boolean isRequired = after.tokens().areRequired();
		addChange(place, "tokenRequired", wasRequired, isRequired);
		warnIf(wasRequired && !isRequired, RiskyChange.TOKEN_CHECK_DROPPED, place);
		warnIf(wasRequired && isRequired && !before.tokens().equals(after.tokens())
				&& keptTokenCount(before, after) == 0, RiskyChange.ALL_TOKENS_REPLACED, place);
	}

	private static long keptTokenCount(OrganisationPolicy before, OrganisationPolicy after) {
		return after.tokens().hashes().stream().filter(before.tokens().hashes()::contains).count();
	}

	private static boolean isLargeReduction(long before, long after) {
		return after < before && after <= before / LARGE_REDUCTION_FACTOR;
	}

	private void addChange(String place, String field, Object before, Object after) {
		if (!Objects.equals(before, after)) {
			this.lines.add("~ %s %s: %s -> %s".formatted(place, field, before, after));
		}
	}

	private void warnUnless(boolean condition, RiskyChange riskyChange, String place) {
		warnIf(!condition, riskyChange, place);
	}

	private void warnIf(boolean condition, RiskyChange riskyChange, String place) {
		if (condition) {
			warn(riskyChange, place);
		}
	}

	private void warn(RiskyChange riskyChange, String place) {
		this.warnings.add(new RiskyChangeWarning(riskyChange, this.name, place));
	}

	private static String formatLimit(OrganisationPolicy policy) {
		return (policy.tokensPerSecond() > 0) ? Long.toString(policy.tokensPerSecond()) : "none";
	}

	private static String describe(Route route) {
		return "pool=%s tier=%s deadline=%s nonIdempotent=%s durable=%s".formatted(route.pool(), route.tier().label(),
				route.deadline(), route.nonIdempotent(), route.durable());
	}

}
