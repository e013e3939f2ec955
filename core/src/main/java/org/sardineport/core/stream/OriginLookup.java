package org.sardineport.core.stream;

import java.util.List;
import java.util.function.Consumer;

import org.sardineport.core.fleet.Member;

/**
 * Lookup of a stream's origin. It merges the records of all daemons that reply within a
 * short time after the replies are conclusive, because a single one may have missed a
 * message. That an attempt was dispatched is conclusive only if several of the daemons
 * asked have replied: a daemon that is cut off with another one may have missed a later
 * attempt at another version. What this daemon served itself counts as contradiction
 * only: another daemon may have served another stream under the same id.
 */
final class OriginLookup extends PendingReplies {

	/** Number of replies that make a dispatch conclusive, if so many are asked. */
	private static final int REPLIES_NEEDED = 2;

	private final StreamRecord served;

	private final boolean isAlone;

	private final OriginEffects effects;

	private final Consumer<OriginEvidence> listener;

	private final int asked;

	private StreamRecord merged;

	private int replies;

	OriginLookup(StreamKey key, List<Member> asked, StreamRecord told, StreamRecord served, long now,
			OriginEffects effects, boolean isAlone, Consumer<OriginEvidence> listener) {
		super(key, asked, now, now + OriginRegistry.LOOKUP_TIMEOUT.toMillis());
		this.served = served;
		this.isAlone = isAlone;
		this.asked = asked.size();
		this.effects = effects;
		this.listener = listener;
		this.merged = told;
	}

	@Override
	void accept(StreamRecord record, long now) {
		this.merged = this.merged.merge(record);
		this.replies++;
		if (evidence().origin() != StreamOrigin.UNKNOWN) {
			shortenTo(now + OriginRegistry.ANSWER_WINDOW.toMillis());
		}
	}

	@Override
	void tick(long now) {
	}

	@Override
	void complete(long now) {
		OriginEvidence evidence = evidence();
		this.listener.accept(evidence);
		this.effects.lookedUp(key(), outcome(evidence.origin()), now - startedAt());
	}

	private OriginEvidence evidence() {
		if (this.isAlone) {
			return new OriginEvidence(this.merged.merge(this.served), true, true);
		}
		if (this.merged.runs().isEmpty()) {
			return OriginEvidence.NONE;
		}
		boolean isProved = this.merged.hasBegun()
				|| (this.replies > 0 && this.replies >= Math.min(REPLIES_NEEDED, this.asked));
		return new OriginEvidence(this.merged.merge(this.served), isProved, 2 * this.replies > this.asked);
	}

	private LookupOutcome outcome(StreamOrigin origin) {
		if (origin == StreamOrigin.AMBIGUOUS) {
			return LookupOutcome.AMBIGUOUS;
		}
		if (origin == StreamOrigin.UNKNOWN) {
			return isAnswered() ? LookupOutcome.UNKNOWN : LookupOutcome.TIMED_OUT;
		}
		return this.isAlone ? LookupOutcome.LOCAL : LookupOutcome.REPLICA;
	}

}
