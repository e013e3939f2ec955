package org.sardineport.core.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Fetches a newer configuration from peers: one page of one peer at a time, from another
 * peer if no answer comes. Not safe for use by several threads.
 */
public final class PeerCatchUp {

	/** Most peers that are asked at once for their versions. */
	private static final int CONFIRMING_PEERS = 8;

	private final Duration timeout;

	private final Map<DaemonId, Long> versions = new HashMap<>();

	private final Map<DaemonId, Instant> lastAsked = new HashMap<>();

	private final ImageAssembly assembly;

	private @Nullable Pending pending;

	private Instant nextConfirmation = Instant.MIN;

	private Instant quietUntil = Instant.MIN;

	private boolean wantsWhole;

	private PeerCatchUp(Duration timeout, ImageCodec codec) {
		this.timeout = Objects.requireNonNull(timeout, "timeout must not be null");
		this.assembly = ImageAssembly.create(codec);
	}

	/**
	 * Returns a catch-up that has heard nothing yet.
	 * @param timeout time to wait for a page before another peer is asked
	 * @param codec decodes images
	 * @return the catch-up
	 */
	public static PeerCatchUp create(Duration timeout, ImageCodec codec) {
		return new PeerCatchUp(timeout, codec);
	}

	/**
	 * Tells which version a peer has now.
	 * @param peer the peer
	 * @param version its version
	 */
	public void heard(DaemonId peer, long version) {
		this.versions.put(peer, version);
	}

	/**
	 * Asks no peer for a while, and then for the whole configuration: an image could not
	 * be taken.
	 * @param until when to ask again
	 */
	public void backOff(Instant until) {
		this.quietUntil = until;
		this.wantsWhole = true;
	}

	/**
	 * Tells that an image was taken.
	 */
	public void taken() {
		this.wantsWhole = false;
	}

	/**
	 * Returns what to ask now, if anything.
	 * @param now the time
	 * @param version version in force on this daemon
	 * @param fleet the fleet as this daemon knows it
	 * @return the question and whom to ask
	 */
	public Optional<Question> next(Instant now, long version, FleetSnapshot fleet) {
		Pending current = this.pending;
		boolean waiting = current != null && current.wantedVersion > version && now.isBefore(current.until);
		if (waiting || now.isBefore(this.quietUntil)) {
			return Optional.empty();
		}
		this.pending = null;
		Optional<Member> peer = choose(version, fleet);
		peer.ifPresent((member) -> this.lastAsked.put(member.id(), now));
		return peer.map((member) -> ask(member.id(), member.peerAddress(), knownVersion(member), version, 0, now));
	}

	/**
	 * Takes a page.
	 * @param peer who sent it
	 * @param page the page
	 * @return the image, if it is whole now
	 */
	public Optional<ConfigurationImage> received(DaemonId peer, ImagePage page) {
		heard(peer, page.version());
		Optional<ConfigurationImage> image = this.assembly.add(page);
		if (image.isPresent()) {
			this.pending = null;
		}
		return image;
	}

	/**
	 * Returns questions to some peers about their versions, for a daemon that cannot
	 * learn from the log whether it holds the newest.
	 * @param now the time
	 * @param version version in force on this daemon
	 * @param fleet the fleet as this daemon knows it
	 * @return the questions; empty if they were sent a short time ago
	 */
	public List<Question> confirmations(Instant now, long version, FleetSnapshot fleet) {
		if (now.isBefore(this.nextConfirmation)) {
			return List.of();
		}
		this.nextConfirmation = now.plus(this.timeout);
		return fleet.members()
			.stream()
			.filter((member) -> !member.id().equals(fleet.self()) && member.status().isEligible())
			.limit(CONFIRMING_PEERS)
			.map((member) -> new Question(member.peerAddress(), new ConfigurationFetch(version, 0)))
			.toList();
	}

	/**
	 * Returns the question for the next page of an image.
	 * @param now the time
	 * @param peer who sent the last page
	 * @param address the peer's address
	 * @param last the last page
	 * @param version version in force on this daemon
	 * @return the question
	 */
	public Question following(Instant now, DaemonId peer, NetworkAddress address, ImagePage last, long version) {
		return ask(peer, address, last.version(), version, this.assembly.firstMissing(last.id()), now);
	}

	private Question ask(DaemonId peer, NetworkAddress address, long wanted, long version, int index, Instant now) {
		this.pending = new Pending(peer, wanted, now.plus(this.timeout));
		long newerThan = this.wantsWhole ? ConfigurationSnapshot.NO_VERSION : version;
		return new Question(address, new ConfigurationFetch(newerThan, index));
	}

	private Optional<Member> choose(long version, FleetSnapshot fleet) {
		FailureDomain own = fleet.member(fleet.self()).map(Member::failureDomain).orElse(null);
		List<Member> newer = fleet.members()
			.stream()
			.filter((member) -> !member.id().equals(fleet.self()) && member.status() != MemberStatus.DEAD)
			.filter((member) -> knownVersion(member) > version)
			.toList();
		this.lastAsked.keySet().removeIf((id) -> fleet.member(id).isEmpty());
		this.versions.keySet().removeIf((id) -> fleet.member(id).isEmpty());
		return newer.stream()
			.min(Comparator.comparing((Member member) -> this.lastAsked.getOrDefault(member.id(), Instant.MIN))
				.thenComparing((member) -> !member.failureDomain().equals(own))
				.thenComparing(Member::id));
	}

	private long knownVersion(Member member) {
		return Math.max(member.configurationVersion(),
				this.versions.getOrDefault(member.id(), ConfigurationSnapshot.NO_VERSION));
	}

	private record Pending(DaemonId peer, long wantedVersion, Instant until) {
	}

	/**
	 * A question to a peer.
	 *
	 * @param peer address of the peer
	 * @param fetch the question
	 */
	public record Question(NetworkAddress peer, ConfigurationFetch fetch) {
	}

}
