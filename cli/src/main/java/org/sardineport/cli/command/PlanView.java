package org.sardineport.cli.command;

import java.util.List;

import org.sardineport.cli.Console;
import org.sardineport.core.error.DocumentFault;
import org.sardineport.core.publishing.ProfileDifference;
import org.sardineport.core.publishing.PublicationPlan;

/**
 * Output form of a publication plan.
 *
 * @param baseVersion configuration version that the publication is based on
 * @param differences changes to the profiles
 * @param warnings changes that are probably unintended
 * @param faults faults that prevent the publication
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
	 * Output form of the changes to a profile.
	 */
	record DifferenceView(String profile, String change, List<String> lines) {

		private static DifferenceView of(ProfileDifference difference) {
			return new DifferenceView(difference.profile().value(), difference.kind().label(), difference.lines());
		}

	}

	/**
	 * Output form of a change that is probably unintended.
	 */
	record WarningView(String slip, String profile, String place, String consequence) {
	}

	/**
	 * Output form of a fault.
	 */
	record FaultView(String path, int line, String found, String remedy, String text) {

		static FaultView of(DocumentFault fault) {
			return new FaultView(fault.path(), fault.line(), fault.found(), fault.remedy(), fault.toString());
		}

	}

}
