package org.sardineport.core.stream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Collects the replies of several daemons about one key until all have replied or a
 * deadline passes. Not safe for use by several threads.
 */
abstract class PendingReplies {

	private final StreamKey key;

	private final Map<DaemonId, NetworkAddress> awaited = new HashMap<>();

	private final long startedAt;

	private long deadline;

	PendingReplies(StreamKey key, List<Member> awaited, long startedAt, long deadline) {
		this.key = Objects.requireNonNull(key, "key must not be null");
		awaited.forEach((member) -> this.awaited.put(member.id(), member.peerAddress()));
		this.startedAt = startedAt;
		this.deadline = deadline;
	}

	/**
	 * Accepts a reply unless its sender was not asked, or has replied before.
	 * @param sender the sender
	 * @param reply the reply
	 * @param now the current time in milliseconds
	 */
	final void received(DaemonId sender, OriginReply reply, long now) {
		if (reply.key().equals(this.key) && this.awaited.remove(sender) != null) {
			accept(reply.record(), now);
		}
	}

	final boolean isDone(long now) {
		return this.awaited.isEmpty() || now >= this.deadline;
	}

	final boolean isAnswered() {
		return this.awaited.isEmpty();
	}

	final StreamKey key() {
		return this.key;
	}

	final long startedAt() {
		return this.startedAt;
	}

	final Iterable<NetworkAddress> awaited() {
		return this.awaited.values();
	}

	final void shortenTo(long earlier) {
		this.deadline = Math.min(this.deadline, earlier);
	}

	/**
	 * Takes in what a daemon remembers.
	 * @param record the record
	 * @param now the current time in milliseconds
	 */
	abstract void accept(StreamRecord record, long now);

	/**
	 * Does what is due while replies are awaited.
	 * @param now the current time in milliseconds
	 */
	abstract void tick(long now);

	/**
	 * Tells the result. Called once, after {@link #isDone}.
	 * @param now the current time in milliseconds
	 */
	abstract void complete(long now);

}
