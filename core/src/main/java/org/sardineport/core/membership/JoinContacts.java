package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.sardineport.core.identity.NetworkAddress;

/**
 * Addresses by which other daemons may be found. Until this daemon is answered it asks
 * several at once and often; later it asks one at a time, so that halves of a fleet that
 * lost each other meet again, and it compares notes with a random member from time to
 * time.
 */
final class JoinContacts {

	private static final Duration JOINING_INTERVAL = Duration.ofMillis(500);

	private static final Duration MEETING_INTERVAL = Duration.ofSeconds(2);

	private static final Duration COMPARING_INTERVAL = Duration.ofSeconds(10);

	/** Addresses asked at once while joining. */
	private static final int JOINING_FANOUT = 3;

	private final NetworkAddress self;

	private final RandomGenerator random;

	private List<NetworkAddress> addresses = List.of();

	private boolean joined;

	private Instant nextMeeting = Instant.MIN;

	private Instant nextComparing = Instant.MIN;

	JoinContacts(NetworkAddress self, RandomGenerator random) {
		this.self = self;
		this.random = random;
	}

	void replace(Collection<NetworkAddress> changed) {
		this.addresses = changed.stream().filter((address) -> !address.equals(this.self)).distinct().toList();
	}

	void joined() {
		this.joined = true;
	}

	/**
	 * Returns whom to ask now.
	 * @param now the current time
	 * @param table the daemons known
	 * @return the contacts, often none
	 */
	List<Contact> due(Instant now, MemberTable table) {
		List<Contact> due = new ArrayList<>();
		if (!now.isBefore(this.nextMeeting)) {
			this.nextMeeting = now.plus((this.joined) ? MEETING_INTERVAL : JOINING_INTERVAL);
			choose(unknown(table), (this.joined) ? 1 : JOINING_FANOUT)
				.forEach((address) -> due.add(new Contact(address, !this.joined)));
		}
		if (this.joined && !now.isBefore(this.nextComparing)) {
			this.nextComparing = now.plus(COMPARING_INTERVAL);
			List<NetworkAddress> known = new ArrayList<>();
			table.present().forEach((peer) -> known.add(peer.member().peerAddress()));
			choose(known, 1).forEach((address) -> due.add(new Contact(address, false)));
		}
		return due;
	}

	private List<NetworkAddress> unknown(MemberTable table) {
		Set<NetworkAddress> known = new HashSet<>();
		table.present().forEach((peer) -> known.add(peer.member().peerAddress()));
		return new ArrayList<>(this.addresses.stream().filter((address) -> !known.contains(address)).toList());
	}

	private List<NetworkAddress> choose(List<NetworkAddress> from, int maximum) {
		List<NetworkAddress> chosen = new ArrayList<>();
		while (chosen.size() < maximum && !from.isEmpty()) {
			chosen.add(from.remove(this.random.nextInt(from.size())));
		}
		return chosen;
	}

	/**
	 * An address to ask.
	 *
	 * @param address the address
	 * @param complete whether to ask for all members
	 */
	record Contact(NetworkAddress address, boolean complete) {

	}

}
