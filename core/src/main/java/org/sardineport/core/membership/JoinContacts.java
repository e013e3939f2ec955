package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Peer addresses at which other daemons may be found, and the schedule of the join
 * requests to them. Until the first response, requests go to several addresses at once.
 * After that, one address that belongs to no known member is contacted at a time, which
 * reunites the parts of a fleet after a network partition. In addition the member lists
 * are synchronised with a random member at a longer interval; in the first seconds after
 * the join this happens more often and with complete lists.
 */
final class JoinContacts {

	private static final Duration JOIN_INTERVAL = Duration.ofMillis(500);

	private static final Duration RECONNECT_INTERVAL = Duration.ofSeconds(2);

	private static final Duration SYNC_INTERVAL = Duration.ofSeconds(10);

	/** Time before an address in another region is contacted again. */
	private static final Duration OTHER_REGION_INTERVAL = Duration.ofMinutes(10);

	/** Time for which a daemon counts as newly joined. */
	private static final Duration SETTLING_TIME = Duration.ofSeconds(5);

	/** Number of addresses contacted at once while joining. */
	private static final int JOIN_FANOUT = 3;

	private final NetworkAddress self;

	private final RandomGenerator random;

	private List<NetworkAddress> addresses = List.of();

	private final Map<NetworkAddress, Instant> otherRegion = new HashMap<>();

	private @Nullable Instant joinedAt;

	private Instant nextReconnect = Instant.MIN;

	private Instant nextSync = Instant.MIN;

	JoinContacts(NetworkAddress self, RandomGenerator random) {
		this.self = self;
		this.random = random;
	}

	void replace(Collection<NetworkAddress> contacts) {
		this.addresses = contacts.stream().filter((address) -> !address.equals(this.self)).distinct().toList();
	}

	void joined(Instant now) {
		if (this.joinedAt == null) {
			this.joinedAt = now;
		}
	}

	/**
	 * Records that a daemon of another region responded from an address. The address is
	 * not contacted again within {@link #OTHER_REGION_INTERVAL}.
	 * @param address the address
	 * @param now the current time
	 */
	void otherRegion(NetworkAddress address, Instant now) {
		if (this.addresses.contains(address)) {
			this.otherRegion.put(address, now.plus(OTHER_REGION_INTERVAL));
		}
	}

	/**
	 * Returns whether this daemon joined longer than {@link #SETTLING_TIME} ago. What it
	 * learns from join responses before that is known to the other members already and is
	 * not broadcast.
	 * @param now the current time
	 * @return whether the daemon is no longer newly joined
	 */
	boolean isSettled(Instant now) {
		return this.joinedAt != null && now.isAfter(this.joinedAt.plus(SETTLING_TIME));
	}

	/**
	 * Returns the addresses to send join requests to now.
	 * @param now the current time
	 * @param table the known daemons
	 * @return the contacts; empty if none is due
	 */
	List<Contact> due(Instant now, MemberTable table) {
		List<Contact> due = new ArrayList<>();
		this.otherRegion.values().removeIf(now::isAfter);
		if (!now.isBefore(this.nextReconnect)) {
			this.nextReconnect = now.plus((isJoined()) ? RECONNECT_INTERVAL : JOIN_INTERVAL);
			chooseRandom(unknownAddresses(table), (isJoined()) ? 1 : JOIN_FANOUT)
				.forEach((address) -> due.add(new Contact(address, !isJoined())));
		}
		if (isJoined() && !now.isBefore(this.nextSync)) {
			boolean newlyJoined = !isSettled(now);
			this.nextSync = now.plus((newlyJoined) ? RECONNECT_INTERVAL : SYNC_INTERVAL);
			List<NetworkAddress> known = new ArrayList<>();
			table.present().forEach((peer) -> known.add(peer.member().peerAddress()));
			chooseRandom(known, 1).forEach((address) -> due.add(new Contact(address, newlyJoined)));
		}
		return due;
	}

	/**
	 * Returns when {@link #due} may return contacts again.
	 * @return the earliest time
	 */
	Instant nextDue() {
		return (isJoined() && this.nextSync.isBefore(this.nextReconnect)) ? this.nextSync : this.nextReconnect;
	}

	private boolean isJoined() {
		return this.joinedAt != null;
	}

	private List<NetworkAddress> unknownAddresses(MemberTable table) {
		Set<NetworkAddress> known = new HashSet<>();
		table.present().forEach((peer) -> known.add(peer.member().peerAddress()));
		known.addAll(this.otherRegion.keySet());
		return new ArrayList<>(this.addresses.stream().filter((address) -> !known.contains(address)).toList());
	}

	private List<NetworkAddress> chooseRandom(List<NetworkAddress> candidates, int limit) {
		List<NetworkAddress> chosen = new ArrayList<>();
		while (chosen.size() < limit && !candidates.isEmpty()) {
			chosen.add(candidates.remove(this.random.nextInt(candidates.size())));
		}
		return chosen;
	}

	/**
	 * An address to send a join request to.
	 *
	 * @param address peer address
	 * @param complete whether to request all members or only a sample
	 */
	record Contact(NetworkAddress address, boolean complete) {

	}

}
