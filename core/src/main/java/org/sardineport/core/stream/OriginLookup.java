package org.sardineport.core.stream;

import java.util.List;
import java.util.function.Consumer;

import org.sardineport.core.fleet.Member;

/**
 * Lookup of a stream's origin. It merges the records of all daemons that reply within a
 * short time after the first useful reply, because a single one may have missed a
 * message. What this daemon served itself counts as contradiction only: another daemon
 * may have served another stream under the same id.
 */
final class OriginLookup extends PendingReplies {

	private final StreamRecord served;

	private final boolean isAlone;

	private final OriginEffects effects;

	private final Consumer<StreamOrigin> listener;

	private StreamRecord merged;

	OriginLookup(StreamKey key, List<Member> asked, StreamRecord told, StreamRecord served, long now,
			OriginEffects effects, Consumer<StreamOrigin> listener) {
		super(key, asked, now, now + OriginRegistry.LOOKUP_TIMEOUT.toMillis());
		this.served = served;
		this.isAlone = asked.isEmpty();
		this.effects = effects;
		this.listener = listener;
		this.merged = StreamRecord.EMPTY;
		accept(told, now);
	}

	@Override
	void accept(StreamRecord record, long now) {
		this.merged = this.merged.merge(record);
		if (!this.merged.runs().isEmpty()) {
			shortenTo(now + OriginRegistry.ANSWER_WINDOW.toMillis());
		}
	}

	@Override
	void tick(long now) {
	}

	@Override
	void complete(long now) {
		StreamOrigin origin = origin();
		this.listener.accept(origin);
		this.effects.lookedUp(key(), outcome(origin), now - startedAt());
	}

	private StreamOrigin origin() {
		boolean isProved = this.isAlone || !this.merged.runs().isEmpty();
		return isProved ? this.merged.merge(this.served).origin() : StreamOrigin.UNKNOWN;
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
