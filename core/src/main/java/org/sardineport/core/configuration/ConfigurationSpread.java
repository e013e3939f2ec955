package org.sardineport.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.FailureDomain;

/**
 * Decides who reads the log all the time and who tells whom of a new version. In each
 * failure domain the first few daemons by name read; they and all below them tell a few
 * others of the same failure domain, so that the cost of a daemon does not grow with the
 * fleet.
 */
public final class ConfigurationSpread {

	/** Daemons of a failure domain that read the log all the time. */
	public static final int READERS = 3;

	/** Daemons that a daemon tells of a new version, besides the other readers. */
	public static final int FAN_OUT = 2;

	private ConfigurationSpread() {
	}

	/**
	 * Returns whether this daemon reads the log all the time.
	 * @param fleet the fleet as this daemon knows it
	 * @return whether it is a reader; true also while the daemon does not know itself
	 */
	public static boolean isReader(FleetSnapshot fleet) {
		return position(fleet, neighbours(fleet)) < READERS;
	}

	/**
	 * Returns whom this daemon tells of a new version.
	 * @param fleet the fleet as this daemon knows it
	 * @return the daemons
	 */
	public static List<Member> audience(FleetSnapshot fleet) {
		List<Member> neighbours = neighbours(fleet);
		int position = position(fleet, neighbours);
		List<Member> audience = new ArrayList<>();
		if (position >= neighbours.size()) {
			return audience;
		}
		for (int reader = 0; position < READERS && reader < Math.min(READERS, neighbours.size()); reader++) {
			if (reader != position) {
				audience.add(neighbours.get(reader));
			}
		}
		int firstChild = READERS + position * FAN_OUT;
		for (int child = firstChild; child < Math.min(firstChild + FAN_OUT, neighbours.size()); child++) {
			audience.add(neighbours.get(child));
		}
		return audience;
	}

	private static List<Member> neighbours(FleetSnapshot fleet) {
		FailureDomain domain = fleet.member(fleet.self()).map(Member::failureDomain).orElse(null);
		return fleet.members()
			.stream()
			.filter((member) -> member.failureDomain().equals(domain))
			.filter((member) -> member.status().isEligible() || member.id().equals(fleet.self()))
			.sorted(Comparator.comparing(Member::id))
			.toList();
	}

	private static int position(FleetSnapshot fleet, List<Member> neighbours) {
		for (int i = 0; i < neighbours.size(); i++) {
			if (neighbours.get(i).id().equals(fleet.self())) {
				return i;
			}
		}
		return 0;
	}

}
