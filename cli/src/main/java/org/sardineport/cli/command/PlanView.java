package org.sardineport.cli.command;

import java.util.List;

import org.sardineport.cli.Console;
import org.sardineport.core.error.DocumentFault;
import org.sardineport.core.publishing.ProfileDifference;
import org.sardineport.core.publishing.PublicationPlan;

/**
 * A plan as it is shown.
 *
 * @param baseVersion version that the publication is based on
 * @param differences what changes
 * @param warnings changes that are probably not meant
 * @param faults what makes it impossible
 */
record PlanView(long baseVersion, List<DifferenceView> differences, List<WarningView> warnings,
		List<FaultView> faults) {

	static PlanView of(PublicationPlan plan) {
		return new PlanView(plan.baseVersion(), plan.differences().stream().map(DifferenceView::of).toList(),
				plan.warnings()
					.stream()
					.map((warning) -> new WarningView(warning.riskyChange().label(), warning.profile().value(),
							warning.place(), warning.riskyChange().consequence()))
					.toList(),
				plan.faults().stream().map(FaultView::of).toList());
	}

	void write(Console console) {
		for (DifferenceView difference : this.differences) {
			console.line("%s %s%s".formatted(difference.profile(), difference.change(),
					difference.lines().isEmpty() ? ": no difference" : ""));
			difference.lines().forEach((line) -> console.line("  " + line));
		}
		this.warnings.forEach((warning) -> console
			.line("warning: %s: %s; %s".formatted(warning.profile(), warning.place(), warning.consequence())));
		this.faults.forEach((fault) -> console.line("fault: " + fault.text()));
	}

	/**
	 * What changes in a profile.
	 */
	record DifferenceView(String profile, String change, List<String> lines) {

		private static DifferenceView of(ProfileDifference difference) {
			return new DifferenceView(difference.profile().value(), difference.kind().label(), difference.lines());
		}

	}

	/**
	 * A change that is probably not meant.
	 */
	record WarningView(String slip, String profile, String place, String consequence) {
	}

	/**
	 * A fault.
	 */
	record FaultView(String path, int line, String found, String remedy, String text) {

		static FaultView of(DocumentFault fault) {
			return new FaultView(fault.path(), fault.line(), fault.found(), fault.remedy(), fault.toString());
		}

	}

}
