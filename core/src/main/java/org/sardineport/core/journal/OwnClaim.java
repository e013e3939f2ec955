package org.sardineport.core.journal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Fingerprint;

/**
 * Claim made by this process: its stage, deadline and the callbacks that wait for a
 * decision. Not thread-safe.
 */
final class OwnClaim {

	private static final int SETTLE_TIME_DIVISOR = 4;

	private final IdempotencyKey key;

	private final KeyHash hash;

	private final String token;

	private final long tokenHash;

	private final Fingerprint fingerprint;

	private ClaimStage stage = ClaimStage.ACCEPTING;

	private Instant deadline;

	private Instant giveUpAt;

	private int attempt;

	private boolean possiblyInLog;

	private @Nullable Consumer<AcceptDecision> acceptReply;

	private @Nullable Consumer<DispatchDecision> dispatchReply;

	private final List<Consumer<KeyState>> releaseReplies = new ArrayList<>();

	private OwnClaim(IdempotencyKey key, Fingerprint fingerprint, String token, Instant deadline, Instant giveUpAt) {
		this.key = key;
		this.hash = KeyHash.of(key);
		this.token = token;
		this.tokenHash = KeyHash.ofToken(token);
		this.fingerprint = fingerprint;
		this.deadline = deadline;
		this.giveUpAt = giveUpAt;
	}

	static OwnClaim accepting(ClaimSubject subject, String token, Instant now, Duration settleTime,
			Consumer<AcceptDecision> reply) {
		OwnClaim claim = new OwnClaim(subject.key(), subject.fingerprint(), token, subject.deadline(),
				giveUpAt(now, subject.deadline(), settleTime));
		claim.acceptReply = reply;
		return claim;
	}

	void markDispatching(Instant now, Instant until, Duration settleTime, Consumer<DispatchDecision> reply) {
		this.stage = ClaimStage.DISPATCHING;
		this.attempt++;
		this.deadline = until;
		this.giveUpAt = giveUpAt(now, until, settleTime);
		this.dispatchReply = reply;
	}

	void markHolding() {
		this.stage = ClaimStage.HOLDING;
		replyToAccept(new AcceptDecision.Accepted(new JournalClaim(this.key, this.token)));
	}

	void markDispatched() {
		this.stage = ClaimStage.DISPATCHED;
		replyToDispatch(new DispatchDecision.Won());
	}

	void markReleasing() {
		this.stage = ClaimStage.RELEASING;
	}

	void addReleaseReply(Instant until, Consumer<KeyState> reply) {
		this.deadline = (until.isAfter(this.deadline)) ? until : this.deadline;
		this.releaseReplies.add(reply);
	}

	void markPossiblyInLog() {
		this.possiblyInLog = true;
	}

	boolean isPossiblyInLog() {
		return this.possiblyInLog;
	}

	// Whether the claim has to be released because its time is up.
	boolean isOverdue(Instant now, Duration settleTime) {
		return switch (this.stage) {
			case ACCEPTING, DISPATCHING -> !now.isBefore(this.giveUpAt);
			case HOLDING -> !now.isBefore(this.deadline.plus(settleTime));
			case DISPATCHED, RELEASING -> false;
		};
	}

	void replyToAccept(AcceptDecision decision) {
		Consumer<AcceptDecision> reply = this.acceptReply;
		this.acceptReply = null;
		if (reply != null) {
			reply.accept(decision);
		}
	}

	void replyToDispatch(DispatchDecision decision) {
		Consumer<DispatchDecision> reply = this.dispatchReply;
		this.dispatchReply = null;
		if (reply != null) {
			reply.accept(decision);
		}
	}

	void replyToRelease(KeyState state) {
		List<Consumer<KeyState>> replies = List.copyOf(this.releaseReplies);
		this.releaseReplies.clear();
		replies.forEach((reply) -> reply.accept(state));
	}

	boolean hasPendingReply() {
		return this.acceptReply != null || this.dispatchReply != null || !this.releaseReplies.isEmpty();
	}

	IdempotencyKey key() {
		return this.key;
	}

	KeyHash hash() {
		return this.hash;
	}

	String token() {
		return this.token;
	}

	long tokenHash() {
		return this.tokenHash;
	}

	Fingerprint fingerprint() {
		return this.fingerprint;
	}

	ClaimStage stage() {
		return this.stage;
	}

	Instant deadline() {
		return this.deadline;
	}

	int attempt() {
		return this.attempt;
	}

	@Override
	public String toString() {
		return this.token + ':' + this.stage + ':' + this.attempt + ':' + hasPendingReply() + ':' + this.possiblyInLog;
	}

	private static Instant giveUpAt(Instant now, Instant until, Duration settleTime) {
		Duration share = Duration.between(now, until).dividedBy(SETTLE_TIME_DIVISOR);
		Duration reserved = (share.compareTo(settleTime) < 0) ? share : settleTime;
		return until.minus(reserved);
	}

}
