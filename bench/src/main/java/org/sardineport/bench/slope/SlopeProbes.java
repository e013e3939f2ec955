package org.sardineport.bench.slope;

import java.util.List;
import java.util.stream.Stream;

/**
 * The list of all costs that are measured.
 */
final class SlopeProbes {

	private SlopeProbes() {
	}

	static List<SlopeProbe> all() {
		return Stream
			.of(SchedulingSlopes.probes(), MembershipSlopes.probes(), ConfigurationSlopes.probes(),
					JournalSlopes.probes(), PlatformSlopes.probes())
			.flatMap(List::stream)
			.toList();
	}

}
