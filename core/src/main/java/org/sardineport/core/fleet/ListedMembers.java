package org.sardineport.core.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.core.port.platform.VmState;

/**
 * Combines the status of daemons from the membership with the state of their VMs from the
 * platform's VM list.
 */
public final class ListedMembers {

	private ListedMembers() {
	}

	/**
	 * Marks live daemons as leaving if their VMs are listed as leaving. A daemon that
	 * started after the listing was taken is not marked: it runs on a VM that the listing
	 * does not contain yet.
	 * @param members the daemons of the fleet
	 * @param listing the latest VM listing
	 * @return the daemons in the same order, with their status adjusted
	 */
	public static List<Member> apply(List<Member> members, VmListing listing) {
		Set<NetworkAddress> leaving = new HashSet<>();
		for (VmListing.EntryVm vm : listing.entryVms()) {
			if (vm.state() == VmState.LEAVING) {
				leaving.add(vm.peerAddress());
			}
		}
		if (leaving.isEmpty()) {
			return members;
		}
		long asOf = listing.asOf().toEpochMilli();
		return members.stream()
			.map((member) -> (leaving.contains(member.peerAddress()) && member.incarnation() <= asOf) ? leaving(member)
					: member)
			.toList();
	}

	private static Member leaving(Member member) {
		if (member.status() != MemberStatus.ALIVE) {
			return member;
		}
		return member.withStatus(MemberStatus.LEAVING);
	}

}
