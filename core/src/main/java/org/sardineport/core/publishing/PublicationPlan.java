package org.sardineport.core.publishing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.configuration.ConfigurationState;
import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.configuration.ProfileParser;
import org.sardineport.core.configuration.Publication;
import org.sardineport.core.configuration.StoredProfile;
import org.sardineport.core.error.DocumentFault;
import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.profile.Profile;
import org.sardineport.core.profile.Route;

/**
 * Preview of a draft: its changes, warnings about risky ones, and the faults that rule it
 * out. Immutable.
 *
 * @param baseVersion configuration version that the publication is based on
 * @param differences changes by profile; empty if there are faults
 * @param warnings changes that are probably mistakes; empty if there are faults
 * @param faults reasons why the draft cannot be published
 */
public record PublicationPlan(long baseVersion, List<ProfileDifference> differences, List<RiskyChangeWarning> warnings,
		List<DocumentFault> faults) {

	/**
	 * Creates the plan with copies of the lists.
	 */
	public PublicationPlan {
		differences = List.copyOf(differences);
		warnings = List.copyOf(warnings);
		faults = List.copyOf(faults);
	}

	/**
	 * Compares a draft with the configuration in force.
	 * @param state the last known configuration in force
	 * @param draft the draft
	 * @param pools pools that have backend servers; empty if unknown, which skips the
	 * check for unknown pools
	 * @param parser parser for profile texts
	 * @return the plan
	 */
	public static PublicationPlan of(ConfigurationState state, PublicationDraft draft, Set<PoolName> pools,
			ProfileParser parser) {
		Builder builder = new Builder(state, pools, parser);
		draft.published().forEach((document) -> builder.addChange(document, ChangeKind.PUBLISHED));
		draft.replaced().forEach((document) -> builder.addChange(document, ChangeKind.REPLACED));
		draft.retired().forEach(builder::addRetirement);
		builder.checkNames(draft);
		long base = draft.base().orElse(state.version());
		boolean invalid = !builder.faults.isEmpty();
		return new PublicationPlan(base, invalid ? List.of() : builder.differences,
				invalid ? List.of() : builder.warnings, builder.faults);
	}

	/**
	 * Returns whether the draft is valid but changes nothing.
	 * @return whether there are neither faults nor changed lines
	 */
	public boolean isEmpty() {
		return this.faults.isEmpty()
				&& this.differences.stream().allMatch((difference) -> difference.lines().isEmpty());
	}

	/**
	 * Creates the publication to append to the log, based on {@link #baseVersion}.
	 * @param draft the draft from which this plan was created
	 * @param token unique token that identifies the publication
	 * @param operator name of the publishing operator
	 * @return the publication
	 */
	public Publication publication(PublicationDraft draft, String token, String operator) {
		List<ProfileDocument> documents = Stream.concat(draft.published().stream(), draft.replaced().stream()).toList();
		return new Publication(token, this.baseVersion, documents, draft.retired(), operator);
	}

	/**
	 * Collects the differences, warnings and faults of a plan.
	 */
	private static final class Builder {

		private final ConfigurationState state;

		private final Set<PoolName> pools;

		private final ProfileParser parser;

		private final List<ProfileDifference> differences = new ArrayList<>();

		private final List<RiskyChangeWarning> warnings = new ArrayList<>();

		private final List<DocumentFault> faults = new ArrayList<>();

		private Builder(ConfigurationState state, Set<PoolName> pools, ProfileParser parser) {
			this.state = state;
			this.pools = pools;
			this.parser = parser;
		}

		private void addChange(ProfileDocument document, ChangeKind kind) {
			ProfileName name = document.name();
			Optional<StoredProfile> inForce = this.state.profile(name);
			if (kind == ChangeKind.PUBLISHED && inForce.isPresent()) {
				addFault(name, "a profile of this name in force", "replace it, or choose another name");
			}
			if (kind == ChangeKind.REPLACED && inForce.isEmpty()) {
				addFault(name, "no profile of this name in force", "publish it, or correct the name");
			}
			try {
				Profile after = this.parser.parse(document.text());
				compare(name, kind, inForce.map(StoredProfile::profile).orElse(null), after);
				checkPools(after);
			}
			catch (InvalidDocumentException ex) {
				ex.faults()
					.forEach((fault) -> this.faults.add(new DocumentFault(name + ": " + fault.path(), fault.line(),
							fault.found(), fault.remedy())));
			}
		}

		private void addRetirement(ProfileName name) {
			Optional<StoredProfile> inForce = this.state.profile(name);
			if (inForce.isEmpty()) {
				addFault(name, "no profile of this name in force", "correct the name, or leave it out");
				return;
			}
			compare(name, ChangeKind.RETIRED, inForce.get().profile(), null);
		}

		private void compare(ProfileName name, ChangeKind kind, @Nullable Profile before, @Nullable Profile after) {
			ProfileComparison comparison = ProfileComparison.of(name, before, after);
			this.differences.add(new ProfileDifference(name, kind, comparison.lines()));
			this.warnings.addAll(comparison.warnings());
		}

		private void checkPools(Profile profile) {
			if (this.pools.isEmpty()) {
				return;
			}
			profile.routes()
				.stream()
				.map(Route::pool)
				.distinct()
				.filter((pool) -> !this.pools.contains(pool))
				.forEach((pool) -> this.warnings
					.add(new RiskyChangeWarning(RiskyChange.POOL_UNKNOWN, profile.name(), "pool " + pool)));
		}

		private void checkNames(PublicationDraft draft) {
			List<ProfileName> names = Stream
				.concat(Stream.concat(draft.published().stream(), draft.replaced().stream()).map(ProfileDocument::name),
						draft.retired().stream())
				.toList();
			Set<ProfileName> seen = new HashSet<>();
			names.stream()
				.filter((name) -> !seen.add(name))
				.forEach((name) -> addFault(name, "the name a second time", "name each profile once"));
			if (names.isEmpty()) {
				this.faults.add(new DocumentFault("", 0, "no profile", "name at least one"));
			}
		}

		private void addFault(ProfileName name, String found, String remedy) {
			this.faults.add(new DocumentFault(name.value(), 0, found, remedy));
		}

	}

}
