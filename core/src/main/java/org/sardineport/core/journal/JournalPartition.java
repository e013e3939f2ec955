package org.sardineport.core.journal;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.port.log.LogService;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;

/**
 * One partition of the journal: the replayed state, the claims of this process, and the
 * entries to append to the log. Performs no I/O: its owner appends and reads, and reports
 * the results to it. Not thread-safe.
 */
public final class JournalPartition {

	private final JournalLimits limits;

	private final IdempotencyKeys keyCount;

	private final JournalWriter writer;

	private final HolderLiveness liveness;

	private final JournalReplay replay;

	private final AppendQueue queue;

	private final OwnClaims claims;

	private final FinishingRuns finishing;

	private final KeyWaiters waiters;

	private final ReadPosition position;

	private JournalPartition(JournalLimits limits, JournalWriter writer, HolderLiveness liveness) {
		this.limits = Objects.requireNonNull(limits, "limits must not be null");
		this.keyCount = IdempotencyKeys.of(limits);
		this.writer = Objects.requireNonNull(writer, "writer must not be null");
		this.liveness = Objects.requireNonNull(liveness, "liveness must not be null");
		this.replay = JournalReplay.create(limits);
		this.queue = AppendQueue.create(limits);
		this.position = ReadPosition.create(limits.clockTolerance());
		this.claims = OwnClaims.create(limits, this.replay, this.queue, this.position::hasCompleteHistory);
		this.finishing = FinishingRuns.create(this.queue, limits.maxPartBytes());
		this.waiters = KeyWaiters.create(this.replay, limits.maxWaiters());
	}

	/**
	 * Returns a partition that has read nothing yet. It refuses requests until
	 * {@link #isReady}.
	 * @param limits limits of the journal
	 * @param writer identity of this process in its claims
	 * @param liveness failure detector for claim holders
	 * @return the partition
	 */
	public static JournalPartition create(JournalLimits limits, JournalWriter writer, HolderLiveness liveness) {
		return new JournalPartition(limits, writer, liveness);
	}

	/**
	 * Claims a request, joins the claim of another daemon, or refuses it. The abandoned
	 * claim of a failed daemon is superseded if nothing was dispatched under it.
	 * @param request the request
	 * @param now the current time
	 * @param reply called once with the decision, at the latest at the first tick at or
	 * after the deadline; the state of a finished request does not include its answer
	 */
	public void accept(KeyedRequest request, Instant now, Consumer<AcceptDecision> reply) {
		KeyHash key = KeyHash.of(request.key());
		Refusal refusal = refusal(request, now);
		if (refusal != null) {
			reply.accept(new AcceptDecision.Refused(refusal));
			return;
		}
		KeyStatus status = this.replay.status(key);
		if (status.phase().isFinished()) {
			reply.accept((status.hasOtherFingerprint(request.fingerprint()))
					? new AcceptDecision.Refused(JournalRefusals.reused())
					: new AcceptDecision.Finished(status.state()));
			return;
		}
		ActiveKey held = this.replay.active(key);
		if (held != null && !isAbandoned(held)) {
			reply.accept((held.fingerprint().equals(request.fingerprint())) ? new AcceptDecision.Joined(request.key())
					: new AcceptDecision.Refused(JournalRefusals.reused()));
			return;
		}
		if (!this.queue.hasRoom()) {
			reply.accept(new AcceptDecision.Refused(JournalRefusals.busy()));
			return;
		}
		claim(ClaimSubject.of(request), (held != null) ? held.token() : "", now, reply);
	}

	/**
	 * Takes over a request whose holder failed before dispatching it.
	 * @param held the request as its holder accepted it
	 * @param request the request, or {@code null} if it can no longer run and will be
	 * released
	 * @param deadline time by which a decision is needed
	 * @param now the current time
	 * @param reply called once with the decision
	 */
	public void takeOver(ActiveKey held, @Nullable KeyedRequest request, Instant deadline, Instant now,
			Consumer<AcceptDecision> reply) {
		claim(new ClaimSubject(held.key(), held.fingerprint(), deadline, request), held.token(), now, reply);
	}

	/**
	 * Records that a request is about to be dispatched.
	 * @param claim claim of the request
	 * @param server the backend server it will be sent to
	 * @param streamId identity of the engine's stream
	 * @param until time by which a decision is needed
	 * @param now the current time
	 * @param reply called once with the decision
	 */
	public void dispatch(JournalClaim claim, BackendServerId server, String streamId, Instant until, Instant now,
			Consumer<DispatchDecision> reply) {
		this.claims.dispatch(claim.token(), server, streamId, until, now, reply);
	}

	/**
	 * Records that a request will never run under this claim. Does nothing but reply if
	 * the claim no longer holds the key.
	 * @param claim claim of the request
	 * @param now the current time
	 * @param reply called once with the state of the key
	 */
	public void release(JournalClaim claim, Instant now, Consumer<KeyState> reply) {
		this.claims.release(claim, now, reply);
	}

	/**
	 * Records the end of a dispatched request.
	 * @param claim claim of the request, which may be that of a failed daemon
	 * @param outcome outcome of the run
	 * @param answer the complete answer, or {@code null} for none
	 * @param now the current time
	 * @param reply run once the record was read back
	 * @return {@code false} if the answer was too large to keep with those already
	 * pending
	 */
	public boolean finish(JournalClaim claim, Outcome outcome, @Nullable StoredResponse answer, Instant now,
			Runnable reply) {
		this.claims.remove(claim.token());
		return this.finishing.finish(claim, outcome, answer, now, reply);
	}

	/**
	 * Waits for the end of a request.
	 * @param key hash of its key
	 * @param until time at which waiting ends
	 * @param now the current time
	 * @param reply called once with the state, without the answer; immediately if the
	 * request is not in flight or too many callers wait
	 */
	public void await(KeyHash key, Instant until, Instant now, Consumer<KeyState> reply) {
		this.waiters.await(key, until, now, reply);
	}

	/**
	 * Returns the replayed state of a key.
	 * @param key its hash
	 * @return the state, without the answer
	 */
	public KeyState state(KeyHash key) {
		return this.replay.status(key).state();
	}

	/**
	 * Returns the location of the stored answer of a key in the log.
	 * @param key its hash
	 * @return its location, or {@code null} if no answer is stored
	 */
	public @Nullable ResponseLocation responseLocation(KeyHash key) {
		KeyStatus status = this.replay.status(key);
		boolean kept = status.phase() == RowPhase.COMPLETED && status.answerOffset() != KeyTable.NO_OFFSET;
		return (kept) ? new ResponseLocation(key, status.token(), status.answerOffset()) : null;
	}

	/**
	 * Returns the requests of all daemons that are in flight in this partition.
	 * @return a live view, changed by the next read
	 */
	public Collection<ActiveKey> active() {
		return this.replay.active();
	}

	/**
	 * Returns whether this process is handling a claim.
	 * @param token token of the claim
	 * @return whether the claim is open in this process
	 */
	public boolean holds(String token) {
		return this.claims.holds(token);
	}

	/**
	 * Releases overdue claims and replies to callers whose deadline has passed.
	 * @param now the current time
	 */
	public void tick(Instant now) {
		this.claims.tick(now);
		this.waiters.tick(now);
	}

	/**
	 * Returns when the oldest entry of the next append was queued.
	 * @param includeDeferrable whether to count entries for which no caller waits
	 * @return the time, or {@code null} if there is nothing to append now
	 */
	public @Nullable Instant oldestQueuedAt(boolean includeDeferrable) {
		return (this.queue.canSend()) ? this.queue.waitingSince(includeDeferrable) : null;
	}

	/**
	 * Takes the entries of the next append. No other append may start until its result
	 * has been reported.
	 * @return the entries
	 */
	public AppendBatch nextAppend() {
		return this.queue.takeBatch();
	}

	/**
	 * Reports that an append succeeded.
	 * @param batch its entries
	 */
	public void appended(AppendBatch batch) {
		this.queue.appendSucceeded(batch);
	}

	/**
	 * Reports that an append failed.
	 * @param batch its entries
	 * @param failure type of failure, which decides whether the entries may be in the log
	 */
	public void appendFailed(AppendBatch batch, LogFailure failure) {
		this.queue.appendFailed(batch, failure, this.position.newestRead());
	}

	/**
	 * Reports that a read begins.
	 * @return number of the read
	 */
	public long beginRead() {
		return this.position.beginRead();
	}

	/**
	 * Returns the offset to read from.
	 * @return the offset, or {@link LogService#EARLIEST}
	 */
	public long nextOffset() {
		return this.position.nextOffset();
	}

	/**
	 * Applies a record that was read. Records that were already read are ignored.
	 * @param offset its offset
	 * @param appendedAt time at which the log service appended it
	 * @param entries its entries
	 * @param now the current time
	 */
	public void read(long offset, Instant appendedAt, List<JournalEntry> entries, Instant now) {
		if (!this.position.advance(offset, appendedAt)) {
			return;
		}
		for (JournalEntry entry : entries) {
			KeyHash key = this.replay.apply(offset, appendedAt, entry);
			if (this.queue.size() > 0) {
				EntryId id = EntryId.of(entry);
				boolean wasUnconfirmed = this.queue.isUnconfirmed(id);
				this.queue.confirm(id);
				this.claims.onRead(entry, now);
				this.finishing.onRead(entry, wasUnconfirmed, now);
			}
			this.waiters.onChange(key);
		}
	}

	/**
	 * Reports that a read has ended.
	 * @param read its number
	 * @param nextOffset offset of the next record to read
	 * @param atEnd whether it reached the end of the log
	 * @param now the current time
	 * @return number of entries that are sent again because their append was in doubt and
	 * the read did not return them
	 */
	public int readEnded(long read, long nextOffset, boolean atEnd, Instant now) {
		this.position.readEnded(nextOffset, atEnd, now);
		return (atEnd) ? this.queue.requeueMissed(read) : 0;
	}

	/**
	 * Reports that the records to read next were deleted by the log's retention. From now
	 * on, keys issued before the first remaining record are refused.
	 */
	public void readExpired() {
		this.position.resetToEarliest();
		this.queue.requeueAfterGap();
	}

	/**
	 * Returns whether the log was read to its end, so that requests can be accepted.
	 * @param now the current time
	 * @return whether it is ready
	 */
	public boolean isReady(Instant now) {
		return this.position.isReady(now);
	}

	/**
	 * Returns whether the result of an append is unknown, so that a read to the end of
	 * the log is needed.
	 * @return whether an entry is in doubt
	 */
	public boolean isInDoubt() {
		return this.queue.isInDoubt();
	}

	/**
	 * Returns the number of entries that have not been read back.
	 * @return number of queued and sent entries
	 */
	public int unconfirmedEntries() {
		return this.queue.size();
	}

	/**
	 * Returns the number of keys in the table.
	 * @return number of rows, including expired ones not yet removed
	 */
	public int keyCount() {
		return this.replay.size();
	}

	@Override
	public String toString() {
		return "JournalPartition[next=" + this.position.nextOffset() + ", " + this.claims + ", " + this.queue + ", "
				+ this.finishing + "]";
	}

	private @Nullable Refusal refusal(KeyedRequest request, Instant now) {
		if (!this.position.isReady(now)) {
			return JournalRefusals.notReady();
		}
		Refusal refusal = this.keyCount.refusalByAge(request.key().issuedAt(), now);
		if (refusal != null) {
			return refusal;
		}
		if (!this.position.hasCompleteHistory(request.key().issuedAt())) {
			return JournalRefusals.forgotten();
		}
		if (request.durable() && request.body().length > this.limits.maxRequestBytes()) {
			return JournalRefusals.tooLarge(this.limits.maxRequestBytes());
		}
		return null;
	}

	private boolean isAbandoned(ActiveKey held) {
		return !held.isDispatched() && this.liveness.isFailed(held.holder(), held.boot());
	}

	private void claim(ClaimSubject subject, String supersedes, Instant now, Consumer<AcceptDecision> reply) {
		JournalEntry.Accepted entry = new JournalEntry.Accepted(subject.key().organisation(), subject.key().value(),
				this.writer.nextToken(), subject.fingerprint(), subject.key().issuedAt(), subject.deadline(),
				this.writer.daemon(), this.writer.boot(), supersedes, subject.request());
		this.claims.accept(entry, subject, now, reply);
	}

}
