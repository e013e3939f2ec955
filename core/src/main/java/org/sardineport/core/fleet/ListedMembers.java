package org.sardineport.core.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.core.port.platform.VmState;

/**
 * Joins what daemons say of each other with what the list says of their VMs.
 */
public final class ListedMembers {

	private ListedMembers() {
	}

	/**
	 * Marks daemons as leaving whose VMs the list names as leaving. A daemon that started
	 * after the list was true is on a VM that the list does not know yet.
	 * @param members the daemons
	 * @param listing the newest list
	 * @return the daemons, with changed status where the list says so
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
		return new Member(member.id(), member.incarnation(), MemberStatus.LEAVING, member.failureDomain(),
				member.peerAddress(), member.callerAddress(), member.configurationVersion(), member.load());
	}

}
