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
 * Fetches a newer configuration from peers: one page from one peer at a time, and from
 * another peer if no response arrives within the timeout. Not safe for use by several
 * threads.
 */
public final class PeerCatchUp {

	/** Maximum number of peers whose versions are requested at once. */
	private static final int MAX_CONFIRMING_PEERS = 8;

	private final Duration timeout;

	private final Map<DaemonId, Long> versions = new HashMap<>();

	private final Map<DaemonId, Instant> lastRequested = new HashMap<>();

	private final ImageAssembly assembly;

	private @Nullable Pending pending;

	private Instant nextConfirmation = Instant.MIN;

	private Instant backoffUntil = Instant.MIN;

	private boolean wantsComplete;

	private PeerCatchUp(Duration timeout, ImageCodec codec) {
		this.timeout = Objects.requireNonNull(timeout, "timeout must not be null");
		this.assembly = ImageAssembly.create(codec);
	}

	/**
	 * Returns a catch-up that knows no versions of peers yet.
	 * @param timeout time to wait for a page before it is requested from another peer
	 * @param codec decodes images
	 * @return the catch-up
	 */
	public static PeerCatchUp create(Duration timeout, ImageCodec codec) {
		return new PeerCatchUp(timeout, codec);
	}

	/**
	 * Records the current version of a peer.
	 * @param peer the peer
	 * @param version its version
	 */
	public void updateVersion(DaemonId peer, long version) {
		this.versions.put(peer, version);
	}

	/**
	 * Suspends the requests because an image could not be adopted. After that the
	 * complete configuration is requested.
	 * @param until time from which requests are sent again
	 */
	public void backOff(Instant until) {
		this.backoffUntil = until;
		this.wantsComplete = true;
	}

	/**
	 * Records that an image was adopted, so that only changes need to be requested again.
	 */
	public void imageAdopted() {
		this.wantsComplete = false;
	}

	/**
	 * Returns the next request, if one is due.
	 * @param now the time
	 * @param version version in force on this daemon
	 * @param fleet the fleet as this daemon knows it
	 * @return the request and the peer to send it to; empty if one is pending or no peer
	 * has a newer version
	 */
	public Optional<Request> next(Instant now, long version, FleetSnapshot fleet) {
		Pending current = this.pending;
		boolean waiting = current != null && current.wantedVersion > version && now.isBefore(current.deadline);
		if (waiting || now.isBefore(this.backoffUntil)) {
			return Optional.empty();
		}
		this.pending = null;
		Optional<Member> peer = choosePeer(version, fleet);
		peer.ifPresent((member) -> this.lastRequested.put(member.id(), now));
		return peer.map((member) -> request(member.id(), member.peerAddress(), knownVersion(member), version, 0, now));
	}

	/**
	 * Adds a page received from a peer.
	 * @param peer the peer that sent it
	 * @param page the page
	 * @return the image, if all its pages have been received
	 */
	public Optional<ConfigurationImage> received(DaemonId peer, ImagePage page) {
		updateVersion(peer, page.version());
		Optional<ConfigurationImage> image = this.assembly.add(page);
		if (image.isPresent()) {
			this.pending = null;
		}
		return image;
	}

	/**
	 * Returns requests to some peers for their versions, for a daemon that cannot
	 * determine from the log whether it holds the newest configuration.
	 * @param now the time
	 * @param version version in force on this daemon
	 * @param fleet the fleet as this daemon knows it
	 * @return the requests; empty if they were sent less than the timeout ago
	 */
	public List<Request> confirmations(Instant now, long version, FleetSnapshot fleet) {
		if (now.isBefore(this.nextConfirmation)) {
			return List.of();
		}
		this.nextConfirmation = now.plus(this.timeout);
		return fleet.members()
			.stream()
			.filter((member) -> !member.id().equals(fleet.self()) && member.status().isEligible())
			.limit(MAX_CONFIRMING_PEERS)
			.map((member) -> new Request(member.peerAddress(), new ConfigurationFetch(version, 0)))
			.toList();
	}

	/**
	 * Returns the request for the next page of an image.
	 * @param now the time
	 * @param peer the peer that sent the last page
	 * @param address the peer's address
	 * @param last the last page
	 * @param version version in force on this daemon
	 * @return the request
	 */
	public Request nextPage(Instant now, DaemonId peer, NetworkAddress address, ImagePage last, long version) {
		return request(peer, address, last.version(), version, this.assembly.firstMissing(last.id()), now);
	}

	private Request request(DaemonId peer, NetworkAddress address, long wanted, long version, int index, Instant now) {
		this.pending = new Pending(peer, wanted, now.plus(this.timeout));
		long newerThan = this.wantsComplete ? ConfigurationSnapshot.NO_VERSION : version;
		return new Request(address, new ConfigurationFetch(newerThan, index));
	}

	private Optional<Member> choosePeer(long version, FleetSnapshot fleet) {
		FailureDomain own = fleet.member(fleet.self()).map(Member::failureDomain).orElse(null);
		List<Member> newer = fleet.members()
			.stream()
			.filter((member) -> !member.id().equals(fleet.self()) && member.status() != MemberStatus.DEAD)
			.filter((member) -> knownVersion(member) > version)
			.toList();
		this.lastRequested.keySet().removeIf((id) -> fleet.member(id).isEmpty());
		this.versions.keySet().removeIf((id) -> fleet.member(id).isEmpty());
		return newer.stream()
			.min(Comparator.comparing((Member member) -> this.lastRequested.getOrDefault(member.id(), Instant.MIN))
				.thenComparing((member) -> !member.failureDomain().equals(own))
				.thenComparing(Member::id));
	}

	private long knownVersion(Member member) {
		return Math.max(member.configurationVersion(),
				this.versions.getOrDefault(member.id(), ConfigurationSnapshot.NO_VERSION));
	}

	private record Pending(DaemonId peer, long wantedVersion, Instant deadline) {
	}

	/**
	 * A request to a peer.
	 *
	 * @param peer address of the peer
	 * @param fetch the request
	 */
	public record Request(NetworkAddress peer, ConfigurationFetch fetch) {
	}

}
