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
 * entries on their way to the log. Its owner does the appends and reads and tells their
 * results. Not safe for use by several threads.
 */
public final class JournalPartition {

	private final JournalLimits limits;

	private final IdempotencyKeys keys;

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
		this.keys = IdempotencyKeys.of(limits);
		this.writer = Objects.requireNonNull(writer, "writer must not be null");
		this.liveness = Objects.requireNonNull(liveness, "liveness must not be null");
		this.replay = JournalReplay.create(limits);
		this.queue = AppendQueue.create(limits);
		this.position = ReadPosition.create(limits.clockTolerance());
		this.claims = OwnClaims.create(limits, this.replay, this.queue, this.position::remembers);
		this.finishing = FinishingRuns.create(this.queue, limits.maximumPartBytes());
		this.waiters = KeyWaiters.create(this.replay, limits.maximumWaiters());
	}

	/**
	 * Returns a partition of which nothing was read yet.
	 * @param limits the bounds
	 * @param writer this process, as it signs its claims
	 * @param liveness says which holders are gone
	 * @return the partition
	 */
	public static JournalPartition create(JournalLimits limits, JournalWriter writer, HolderLiveness liveness) {
		return new JournalPartition(limits, writer, liveness);
	}

	/**
	 * Takes a request.
	 * @param request the request
	 * @param now the current time
	 * @param reply hears the decision once, at the latest at a tick after the deadline;
	 * the state of a finished request comes without its answer
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
	 * Takes over a request that its holder left behind undispatched.
	 * @param held what the holder left
	 * @param request the request, or {@code null} if it cannot be run any more and will
	 * be released
	 * @param deadline until when the decision is waited for
	 * @param now the current time
	 * @param reply hears the decision
	 */
	public void takeOver(ActiveKey held, @Nullable KeyedRequest request, Instant deadline, Instant now,
			Consumer<AcceptDecision> reply) {
		claim(new ClaimSubject(held.key(), held.fingerprint(), deadline, request), held.token(), now, reply);
	}

	/**
	 * Records that a request is about to be dispatched.
	 * @param claim claim of the request
	 * @param server where it will be dispatched
	 * @param streamId identity of the engine's stream
	 * @param until until when the decision is waited for
	 * @param now the current time
	 * @param reply hears the decision once
	 */
	public void dispatch(JournalClaim claim, BackendServerId server, String streamId, Instant until, Instant now,
			Consumer<DispatchDecision> reply) {
		this.claims.dispatch(claim.token(), server, streamId, until, now, reply);
	}

	/**
	 * Records that a request will never run under this claim.
	 * @param claim claim of the request
	 * @param now the current time
	 * @param reply hears the state of the key once
	 */
	public void release(JournalClaim claim, Instant now, Consumer<KeyState> reply) {
		this.claims.release(claim, now, reply);
	}

	/**
	 * Records the end of a dispatched request.
	 * @param claim claim of the request, also of one that a dead daemon dispatched
	 * @param outcome what is known of its run
	 * @param answer the whole answer, or {@code null} for none
	 * @param now the current time
	 * @param reply runs when the record was read back
	 * @return whether the answer is kept, if there is one
	 */
	public boolean finish(JournalClaim claim, Outcome outcome, @Nullable StoredAnswer answer, Instant now,
			Runnable reply) {
		this.claims.end(claim.token());
		return this.finishing.finish(claim, outcome, answer, now, reply);
	}

	/**
	 * Waits for the end of a request.
	 * @param key hash of its key
	 * @param until until when to wait
	 * @param now the current time
	 * @param reply hears the state, without the answer
	 */
	public void await(KeyHash key, Instant until, Instant now, Consumer<KeyState> reply) {
		this.waiters.await(key, until, now, reply);
	}

	/**
	 * Returns what is known of a key.
	 * @param key its hash
	 * @return the state, without the answer
	 */
	public KeyState state(KeyHash key) {
		return this.replay.status(key).state();
	}

	/**
	 * Returns where the kept answer of a key is.
	 * @param key its hash
	 * @return its place, or {@code null} if no answer is kept
	 */
	public @Nullable AnswerLocation answer(KeyHash key) {
		KeyStatus status = this.replay.status(key);
		boolean kept = status.phase() == RowPhase.COMPLETED && status.answerOffset() != KeyTable.NO_OFFSET;
		return (kept) ? new AnswerLocation(key, status.token(), status.answerOffset()) : null;
	}

	/**
	 * Returns the requests in flight of this partition, of all daemons.
	 * @return a view that the next read changes
	 */
	public Collection<ActiveKey> active() {
		return this.replay.active();
	}

	/**
	 * Returns whether a claim is one that this process works on.
	 * @param token the claim
	 * @return whether it is
	 */
	public boolean holds(String token) {
		return this.claims.holds(token);
	}

	/**
	 * Ends what has waited too long.
	 * @param now the current time
	 */
	public void tick(Instant now) {
		this.claims.tick(now);
		this.waiters.tick(now);
	}

	/**
	 * Returns since when the next append waits.
	 * @param patientToo whether entries count for which nobody waits
	 * @return the time, or {@code null} if there is nothing to append now
	 */
	public @Nullable Instant waitingSince(boolean patientToo) {
		return (this.queue.canSend()) ? this.queue.waitingSince(patientToo) : null;
	}

	/**
	 * Takes the entries of the next append. Until its result is told there is no other.
	 * @return the entries
	 */
	public AppendBatch nextAppend() {
		return this.queue.send();
	}

	/**
	 * Tells that the log has taken an append.
	 * @param batch its entries
	 */
	public void appended(AppendBatch batch) {
		this.queue.taken(batch);
	}

	/**
	 * Tells that an append failed.
	 * @param batch its entries
	 * @param failure how it failed
	 */
	public void appendFailed(AppendBatch batch, LogFailure failure) {
		this.queue.failed(batch, failure, this.position.newestRead());
	}

	/**
	 * Tells that a read begins.
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
	 * Applies a record that was read. Records that were read before are left out.
	 * @param offset its offset
	 * @param appendedAt when the log service took it
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
				boolean unsettled = this.queue.isUnsettled(id);
				this.queue.settled(id);
				this.claims.seen(entry, now);
				this.finishing.seen(entry, unsettled, now);
			}
			this.waiters.changed(key);
		}
	}

	/**
	 * Tells that a read is over.
	 * @param read its number
	 * @param nextOffset where to read on
	 * @param atEnd whether it saw the end of the log
	 * @param now the current time
	 * @return how many entries whose append was in doubt go again
	 */
	public int readEnded(long read, long nextOffset, boolean atEnd, Instant now) {
		this.position.readEnded(nextOffset, atEnd, now);
		return (atEnd) ? this.queue.caughtUp(read) : 0;
	}

	/**
	 * Tells that the records to read next are gone from the log. Keys issued before the
	 * first record that is left are refused from now on.
	 */
	public void readExpired() {
		this.position.expired();
		this.queue.readWithGap();
	}

	/**
	 * Returns whether the log was read to its end, so that requests can be taken.
	 * @param now the current time
	 * @return whether it is ready
	 */
	public boolean isReady(Instant now) {
		return this.position.isReady(now);
	}

	/**
	 * Returns whether the append of an entry is in doubt, so that a read to the end of
	 * the log is wanted.
	 * @return whether there is one
	 */
	public boolean isInDoubt() {
		return this.queue.isInDoubt();
	}

	/**
	 * Returns how many entries have not been read back.
	 * @return the number
	 */
	public int pending() {
		return this.queue.size();
	}

	/**
	 * Returns how many keys are remembered.
	 * @return the number
	 */
	public int keys() {
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
		Refusal refusal = this.keys.refusalByAge(request.key().issuedAt(), now);
		if (refusal != null) {
			return refusal;
		}
		if (!this.position.remembers(request.key().issuedAt())) {
			return JournalRefusals.forgotten();
		}
		if (request.durable() && request.body().length > this.limits.maximumRequestBytes()) {
			return JournalRefusals.tooLarge(this.limits.maximumRequestBytes());
		}
		return null;
	}

	private boolean isAbandoned(ActiveKey held) {
		return !held.isDispatched() && this.liveness.isGone(held.holder(), held.boot());
	}

	private void claim(ClaimSubject subject, String supersedes, Instant now, Consumer<AcceptDecision> reply) {
		JournalEntry.Accepted entry = new JournalEntry.Accepted(subject.key().organisation(), subject.key().value(),
				this.writer.nextToken(), subject.fingerprint(), subject.key().issuedAt(), subject.deadline(),
				this.writer.daemon(), this.writer.boot(), supersedes, subject.request());
		this.claims.accept(entry, subject, now, reply);
	}

}
