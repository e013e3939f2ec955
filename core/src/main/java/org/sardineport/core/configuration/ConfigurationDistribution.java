package org.sardineport.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.FailureDomain;

/**
 * Distribution tree for new configuration versions. In each failure domain the first few
 * daemons in the order of their names read the log continuously. Each daemon announces a
 * new version to a bounded number of others in its failure domain, so the cost per daemon
 * does not grow with the fleet.
 */
public final class ConfigurationDistribution {

	/** Number of daemons in a failure domain that read the log continuously. */
	public static final int READERS = 3;

	/**
	 * Number of daemons that a daemon announces a new version to, besides the other
	 * readers.
	 */
	public static final int FAN_OUT = 2;

	private ConfigurationDistribution() {
	}

	/**
	 * Returns whether this daemon reads the log continuously.
	 * @param fleet the fleet as this daemon knows it
	 * @return whether it is a reader; also {@code true} while the daemon is missing from
	 * its own view
	 */
	public static boolean isReader(FleetSnapshot fleet) {
		return position(fleet, domainMembers(fleet)) < READERS;
	}

	/**
	 * Returns the daemons to which this one announces a new version.
	 * @param fleet the fleet as this daemon knows it
	 * @return the daemons, all in the same failure domain
	 */
	public static List<Member> recipients(FleetSnapshot fleet) {
		List<Member> neighbours = domainMembers(fleet);
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

	private static List<Member> domainMembers(FleetSnapshot fleet) {
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
