package org.sardineport.core.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.profile.Profile;

/**
 * Evaluates publications. Deterministic: the same state, offset and publication always
 * give the same verdict. A publication that was rejected for a conflict is rejected again
 * whenever a copy of it is evaluated later, so a publisher may safely append it again if
 * the response was lost.
 */
public final class PublicationRules {

	/** Maximum number of profiles in force. */
	public static final int MAX_PROFILES = 4096;

	/** Maximum total length in characters of the texts of all profiles in force. */
	public static final long MAX_CHARACTERS = 8L * 1024 * 1024;

	private final ProfileParser parser;

	private PublicationRules(ProfileParser parser) {
		this.parser = Objects.requireNonNull(parser, "parser must not be null");
	}

	/**
	 * Returns the rules.
	 * @param parser parses the texts of profiles
	 * @return the rules
	 */
	public static PublicationRules of(ProfileParser parser) {
		return new PublicationRules(parser);
	}

	/**
	 * Evaluates a publication.
	 * @param state the state before the publication
	 * @param offset offset of the publication
	 * @param publication the publication
	 * @return the verdict and the resulting state
	 */
	public Decision evaluate(ConfigurationState state, long offset, Publication publication) {
		Verdict refusal = checkForm(offset, publication);
		if (refusal == null) {
			refusal = checkConflict(state, offset, publication);
		}
		if (refusal != null) {
			return new Decision(refusal, state);
		}
		List<StoredProfile> changed = new ArrayList<>();
		refusal = parse(offset, publication, changed);
		if (refusal == null) {
			refusal = checkRetired(state, offset, publication);
		}
		if (refusal != null) {
			return new Decision(refusal, state);
		}
		ConfigurationState next = state.with(offset, changed, publication.retired());
		refusal = checkSize(next, offset, publication);
		return (refusal != null) ? new Decision(refusal, state)
				: new Decision(Verdict.accepted(offset, publication), next);
	}

	private static @Nullable Verdict checkForm(long offset, Publication publication) {
		List<ProfileName> touched = publication.touched();
		if (publication.token().isEmpty()) {
			return Verdict.invalid(offset, publication, "no token", "Publish with the command line.");
		}
		if (touched.isEmpty()) {
			return Verdict.invalid(offset, publication, "no profile to publish or retire", "Name at least one.");
		}
		if (new HashSet<>(touched).size() < touched.size()) {
			return Verdict.invalid(offset, publication, "a profile is named twice", "Name each profile once.");
		}
		return null;
	}

	private static @Nullable Verdict checkConflict(ConfigurationState state, long offset, Publication publication) {
		long base = publication.baseVersion();
		if (offset <= state.version() || base > state.version()) {
			return Verdict.conflict(offset, publication,
					"the log went back behind version " + Math.max(base, state.version()));
		}
		List<ProfileName> conflicting = publication.touched()
			.stream()
			.filter((name) -> state.changedAt(name) > base)
			.toList();
		return conflicting.isEmpty() ? null : Verdict.conflict(offset, publication,
				"changed by others after version %d: %s".formatted(base, conflicting));
	}

	private @Nullable Verdict parse(long offset, Publication publication, List<StoredProfile> changed) {
		for (ProfileDocument document : publication.profiles()) {
			try {
				Profile profile = this.parser.parse(document.text());
				if (!profile.name().equals(document.name())) {
					return Verdict.invalid(offset, publication,
							"profile %s calls itself %s".formatted(document.name(), profile.name()),
							"Use one name for both.");
				}
				changed.add(new StoredProfile(document.text(), offset, profile));
			}
			catch (InvalidDocumentException ex) {
				return Verdict.invalid(offset, publication, document.name() + ": " + ex.getMessage(), ex.remedy());
			}
		}
		return null;
	}

	private static @Nullable Verdict checkRetired(ConfigurationState state, long offset, Publication publication) {
		List<ProfileName> unknown = publication.retired()
			.stream()
			.filter((name) -> state.profile(name).isEmpty())
			.toList();
		return unknown.isEmpty() ? null
				: Verdict.invalid(offset, publication, "not in force: " + unknown, "Retire only profiles in force.");
	}

	private static @Nullable Verdict checkSize(ConfigurationState next, long offset, Publication publication) {
		if (next.profiles().size() > MAX_PROFILES) {
			return Verdict.invalid(offset, publication, "more than %d profiles".formatted(MAX_PROFILES),
					"Retire profiles that are not used any more.");
		}
		if (next.characters() > MAX_CHARACTERS) {
			return Verdict.invalid(offset, publication, "more than %d characters of profiles".formatted(MAX_CHARACTERS),
					"Retire profiles that are not used any more, or shorten some.");
		}
		return null;
	}

	/**
	 * A verdict and the resulting state.
	 *
	 * @param verdict the verdict
	 * @param next the state after the publication; unchanged if it was rejected
	 */
	public record Decision(Verdict verdict, ConfigurationState next) {
	}

}
