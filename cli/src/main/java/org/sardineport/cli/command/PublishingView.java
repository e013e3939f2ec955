package org.sardineport.cli.command;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;
import org.sardineport.cli.ExitCode;
import org.sardineport.core.configuration.Publication;
import org.sardineport.core.configuration.Verdict;
import org.sardineport.core.publishing.PublicationTracker;

/**
 * Output form of the outcome of a publication.
 *
 * @param outcome the outcome in lower case
 * @param version configuration version of the publication; null if it is not in force
 * @param token identity of the publication; null if nothing was published
 * @param behind live daemons that do not report the version yet
 * @param sentence summary of the outcome for operators
 * @param plan the plan with differences, warnings and faults
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record PublishingView(String outcome, @Nullable Long version, @Nullable String token, List<String> behind,
		String sentence, PlanView plan) {

	static PublishingView notPublished(PlanView plan, ExitCode code) {
		String sentence = switch (code) {
			case INVALID -> "Nothing was published: correct the faults.";
			case WARNINGS -> "Nothing was published: repeat with --accept-warnings if this is what you mean.";
			default -> "Nothing was published.";
		};
		return new PublishingView("not-published", null, null, List.of(), sentence, plan);
	}

	static PublishingView ofOutcome(PlanView plan, Publication publication, PublicationTracker tracker,
			List<String> behind, boolean checked) {
		String reason = tracker.verdict().map((verdict) -> verdict.reason() + ". " + verdict.remedy()).orElse("");
		Long version = tracker.verdict().filter(Verdict::isAccepted).map(Verdict::offset).orElse(null);
		String token = publication.token();
		return switch (tracker.outcome()) {
			case ACCEPTED ->
				new PublishingView("accepted", version, token, behind, accepted(version, behind, checked), plan);
			case CONFLICT ->
				new PublishingView("conflict", null, token, behind, "Refused, in conflict: " + reason, plan);
			case INVALID -> new PublishingView("invalid", null, token, behind, "Refused, invalid: " + reason, plan);
			case NOT_PUBLISHED -> new PublishingView("not-published", null, token, behind,
					"Not published: the log service did not take it. Publish again later.", plan);
			case UNKNOWN -> new PublishingView("unknown", null, token, behind,
					"It cannot be told whether the publication is or will be in force: the log service did not answer. "
							+ "Look at 'sardineport profile show' before you publish again.",
					plan);
		};
	}

	private static String accepted(@Nullable Long version, List<String> behind, boolean checked) {
		if (!checked) {
			return "Accepted as version %d.".formatted(version);
		}
		return behind.isEmpty() ? "Accepted as version %d; all live daemons report it.".formatted(version)
				: "Accepted as version %d; not yet reported by %s.".formatted(version, behind);
	}

}
