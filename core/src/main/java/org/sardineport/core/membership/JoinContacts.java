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
 * Addresses by which other daemons may be found. Until this daemon is answered it asks
 * several at once and often; later it asks one at a time, so that halves of a fleet that
 * lost each other meet again, and it compares notes with a random member from time to
 * time, more often and in full while it is a newcomer.
 */
final class JoinContacts {

	private static final Duration JOINING_INTERVAL = Duration.ofMillis(500);

	private static final Duration MEETING_INTERVAL = Duration.ofSeconds(2);

	private static final Duration COMPARING_INTERVAL = Duration.ofSeconds(10);

	/** Time after which an address is asked again that was in another region. */
	private static final Duration ELSEWHERE_INTERVAL = Duration.ofMinutes(10);

	/** Time for which a daemon that joined is a newcomer. */
	private static final Duration SETTLING = Duration.ofSeconds(5);

	/** Addresses asked at once while joining. */
	private static final int JOINING_FANOUT = 3;

	private final NetworkAddress self;

	private final RandomGenerator random;

	private List<NetworkAddress> addresses = List.of();

	private final Map<NetworkAddress, Instant> elsewhere = new HashMap<>();

	private @Nullable Instant joinedAt;

	private Instant nextMeeting = Instant.MIN;

	private Instant nextComparing = Instant.MIN;

	JoinContacts(NetworkAddress self, RandomGenerator random) {
		this.self = self;
		this.random = random;
	}

	void replace(Collection<NetworkAddress> changed) {
		this.addresses = changed.stream().filter((address) -> !address.equals(this.self)).distinct().toList();
	}

	void joined(Instant now) {
		if (this.joinedAt == null) {
			this.joinedAt = now;
		}
	}

	/**
	 * Takes that a daemon of another region answers at an address, so that it is not
	 * asked again soon.
	 * @param address the address
	 * @param now the current time
	 */
	void elsewhere(NetworkAddress address, Instant now) {
		if (this.addresses.contains(address)) {
			this.elsewhere.put(address, now.plus(ELSEWHERE_INTERVAL));
		}
	}

	/**
	 * Returns whether this daemon joined long enough ago that what it learns from answers
	 * to joins is news to others too.
	 * @param now the current time
	 * @return whether it is no newcomer
	 */
	boolean isSettled(Instant now) {
		return this.joinedAt != null && now.isAfter(this.joinedAt.plus(SETTLING));
	}

	/**
	 * Returns whom to ask now.
	 * @param now the current time
	 * @param table the daemons known
	 * @return the contacts, often none
	 */
	List<Contact> due(Instant now, MemberTable table) {
		List<Contact> due = new ArrayList<>();
		this.elsewhere.values().removeIf(now::isAfter);
		if (!now.isBefore(this.nextMeeting)) {
			this.nextMeeting = now.plus((isJoined()) ? MEETING_INTERVAL : JOINING_INTERVAL);
			choose(unknown(table), (isJoined()) ? 1 : JOINING_FANOUT)
				.forEach((address) -> due.add(new Contact(address, !isJoined())));
		}
		if (isJoined() && !now.isBefore(this.nextComparing)) {
			boolean newcomer = !isSettled(now);
			this.nextComparing = now.plus((newcomer) ? MEETING_INTERVAL : COMPARING_INTERVAL);
			List<NetworkAddress> known = new ArrayList<>();
			table.present().forEach((peer) -> known.add(peer.member().peerAddress()));
			choose(known, 1).forEach((address) -> due.add(new Contact(address, newcomer)));
		}
		return due;
	}

	private boolean isJoined() {
		return this.joinedAt != null;
	}

	private List<NetworkAddress> unknown(MemberTable table) {
		Set<NetworkAddress> known = new HashSet<>();
		table.present().forEach((peer) -> known.add(peer.member().peerAddress()));
		known.addAll(this.elsewhere.keySet());
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
