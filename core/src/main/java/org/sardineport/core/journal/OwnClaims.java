package org.sardineport.core.journal;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.request.Outcome;

/**
 * Claims made by this process in one partition. A claim is decided only when its record
 * is read back from the log. A request may be sent once its DISPATCHED record has been
 * read and its claim holds the key. It is reported as not run once its RELEASED record
 * has been read with no dispatch before it. Not thread-safe.
 */
final class OwnClaims {

	private final JournalLimits limits;

	private final JournalReplay replay;

	private final AppendQueue queue;

	private final Predicate<Instant> hasCompleteHistory;

	private final Map<String, OwnClaim> claims = new LinkedHashMap<>();

	private OwnClaims(JournalLimits limits, JournalReplay replay, AppendQueue queue,
			Predicate<Instant> hasCompleteHistory) {
		this.limits = limits;
		this.replay = replay;
		this.queue = queue;
		this.hasCompleteHistory = hasCompleteHistory;
	}

	/**
	 * Returns an empty set of claims.
	 * @param limits limits of the journal
	 * @param replay replayed state of the partition
	 * @param queue queue of entries to append
	 * @param hasCompleteHistory tests whether all records of a key issued at the given
	 * time were read
	 * @return the claims
	 */
	static OwnClaims create(JournalLimits limits, JournalReplay replay, AppendQueue queue,
			Predicate<Instant> hasCompleteHistory) {
		return new OwnClaims(limits, replay, queue, hasCompleteHistory);
	}

	void accept(JournalEntry.Accepted entry, ClaimSubject subject, Instant now, Consumer<AcceptDecision> reply) {
		this.claims.put(entry.token(),
				OwnClaim.accepting(subject, entry.token(), now, this.limits.settleTime(), reply));
		this.queue.add(entry, now);
	}

	void dispatch(String token, BackendServerId server, String streamId, Instant until, Instant now,
			Consumer<DispatchDecision> reply) {
		OwnClaim claim = this.claims.get(token);
		if (claim == null || !this.replay.status(claim.hash()).isHeldBy(claim.tokenHash())) {
			this.claims.remove(token);
			reply.accept(new DispatchDecision.Lost());
			return;
		}
		if (claim.stage() != ClaimStage.HOLDING && claim.stage() != ClaimStage.DISPATCHED) {
			reply.accept(new DispatchDecision.Refused(JournalRefusals.unsettled()));
			return;
		}
		claim.markDispatching(now, until, this.limits.settleTime(), reply);
		this.queue.add(new JournalEntry.Dispatched(claim.key().organisation(), claim.key().value(), token,
				claim.attempt(), server, streamId), now);
	}

	void release(JournalClaim handle, Instant now, Consumer<KeyState> reply) {
		OwnClaim claim = this.claims.get(handle.token());
		KeyStatus status = this.replay.status(KeyHash.of(handle.key()));
		if (claim == null || !status.isHeldBy(claim.tokenHash())) {
			this.claims.remove(handle.token());
			reply.accept(stateOf(handle.key(), status));
			return;
		}
		claim.addReleaseReply(now.plus(this.limits.settleTime()), reply);
		if (claim.stage() != ClaimStage.RELEASING) {
			startRelease(claim, now);
		}
	}

	// Removes the claim of a request that has ended.
	void remove(String token) {
		this.claims.remove(token);
	}

	void onRead(JournalEntry entry, Instant now) {
		OwnClaim claim = this.claims.get(entry.token());
		if (claim == null) {
			return;
		}
		claim.markPossiblyInLog();
		if (entry instanceof JournalEntry.Accepted && claim.stage() == ClaimStage.ACCEPTING) {
			onAcceptedRead(claim);
		}
		else if (entry instanceof JournalEntry.Dispatched dispatched && claim.stage() == ClaimStage.DISPATCHING
				&& dispatched.attempt() == claim.attempt()) {
			onDispatchedRead(claim, now);
		}
		else if (entry instanceof JournalEntry.Released && claim.stage() == ClaimStage.RELEASING) {
			onReleasedRead(claim);
		}
	}

	void tick(Instant now) {
		for (OwnClaim claim : List.copyOf(this.claims.values())) {
			if (claim.isOverdue(now, this.limits.settleTime())) {
				startRelease(claim, now);
			}
			if (claim.hasPendingReply() && !now.isBefore(claim.deadline())) {
				claim.replyToAccept(new AcceptDecision.Refused(JournalRefusals.unsettled()));
				claim.replyToDispatch(new DispatchDecision.Refused(JournalRefusals.unsettled()));
				claim.replyToRelease(unsettledState(claim));
				discardIfNeverInLog(claim);
			}
		}
	}

	boolean holds(String token) {
		return this.claims.containsKey(token);
	}

	int size() {
		return this.claims.size();
	}

	@Override
	public String toString() {
		return "OwnClaims" + this.claims.values();
	}

	private void onAcceptedRead(OwnClaim claim) {
		KeyStatus status = this.replay.status(claim.hash());
		if (status.isHeldBy(claim.tokenHash()) && this.hasCompleteHistory.test(claim.key().issuedAt())) {
			claim.markHolding();
			return;
		}
		this.claims.remove(claim.token());
		claim.replyToAccept(decisionOf(claim, status));
	}

	private void onDispatchedRead(OwnClaim claim, Instant now) {
		KeyStatus status = this.replay.status(claim.hash());
		boolean won = status.isHeldBy(claim.tokenHash()) && status.phase() == RowPhase.DISPATCHED;
		if (!won) {
			this.claims.remove(claim.token());
			claim.replyToDispatch(new DispatchDecision.Lost());
		}
		else if (now.isBefore(claim.deadline()) && this.hasCompleteHistory.test(claim.key().issuedAt())) {
			claim.markDispatched();
		}
		else {
			startRelease(claim, now);
		}
	}

	private void onReleasedRead(OwnClaim claim) {
		this.claims.remove(claim.token());
		KeyStatus status = this.replay.status(claim.hash());
		KeyState state = stateOf(claim.key(), status);
		claim.replyToRelease(state);
		claim.replyToAccept(decisionOf(claim, status));
		claim.replyToDispatch((state.outcome() == Outcome.NOT_RUN)
				? new DispatchDecision.Refused(JournalRefusals.released()) : new DispatchDecision.Lost());
	}

	private AcceptDecision decisionOf(OwnClaim claim, KeyStatus status) {
		if (status.hasOtherFingerprint(claim.fingerprint())) {
			return new AcceptDecision.Refused(JournalRefusals.reused());
		}
		if (status.phase().isFinished()) {
			return new AcceptDecision.Finished(status.state());
		}
		if (status.phase().isActive() && !status.isHeldBy(claim.tokenHash())) {
			return new AcceptDecision.Joined(claim.key());
		}
		boolean claimIgnored = status.phase() == RowPhase.EMPTY && claim.stage() != ClaimStage.RELEASING;
		if (claimIgnored || !this.hasCompleteHistory.test(claim.key().issuedAt())) {
			return new AcceptDecision.Refused(JournalRefusals.forgotten());
		}
		return new AcceptDecision.Refused(JournalRefusals.released());
	}

	// Returns the state of a key whose claim is void. If the key is free, nothing ran.
	private KeyState stateOf(IdempotencyKey key, KeyStatus status) {
		if (!this.hasCompleteHistory.test(key.issuedAt())) {
			return new KeyState(status.phase().phase(), Outcome.UNKNOWN, null);
		}
		return (status.phase() == RowPhase.EMPTY) ? RowPhase.RELEASED.state() : status.state();
	}

	private KeyState unsettledState(OwnClaim claim) {
		return new KeyState(this.replay.status(claim.hash()).phase().phase(), Outcome.UNKNOWN, null);
	}

	private void startRelease(OwnClaim claim, Instant now) {
		withdraw(claim, new EntryId(claim.token(), EntryId.Kind.ACCEPTED, 0));
		withdraw(claim, new EntryId(claim.token(), EntryId.Kind.DISPATCHED, claim.attempt()));
		claim.markReleasing();
		this.queue.add(new JournalEntry.Released(claim.key().organisation(), claim.key().value(), claim.token()), now);
	}

	private void withdraw(OwnClaim claim, EntryId id) {
		if (this.queue.isUnconfirmed(id) && !this.queue.withdraw(id)) {
			claim.markPossiblyInLog();
		}
	}

	private void discardIfNeverInLog(OwnClaim claim) {
		EntryId release = new EntryId(claim.token(), EntryId.Kind.RELEASED, 0);
		if (!claim.isPossiblyInLog() && this.queue.withdraw(release)) {
			this.claims.remove(claim.token());
		}
	}

}
