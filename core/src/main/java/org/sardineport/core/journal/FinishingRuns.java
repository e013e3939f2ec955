package org.sardineport.core.journal;

import java.time.Instant;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Outcome;

/**
 * Ended requests whose FINISHED record has not been read back yet. The parts of an answer
 * are written first. The FINISHED record follows only after all parts were read back, so
 * that it comes after them in the log. Answers are dropped while {@code MAX_BYTES} of
 * bodies are pending. Not thread-safe.
 */
final class FinishingRuns {

	private static final long MAX_BYTES = 16 * 1024 * 1024;

	private static final byte[] EMPTY_BODY = new byte[0];

	private final AppendQueue queue;

	private final int partBytes;

	private final Map<String, Run> runs = new LinkedHashMap<>();

	private long bytes;

	private FinishingRuns(AppendQueue queue, int partBytes) {
		this.queue = queue;
		this.partBytes = partBytes;
	}

	static FinishingRuns create(AppendQueue queue, int partBytes) {
		return new FinishingRuns(queue, partBytes);
	}

	// Returns false if the answer was dropped because too many bytes are pending.
	boolean finish(JournalClaim claim, Outcome outcome, @Nullable StoredResponse answer, Instant now, Runnable reply) {
		if (this.runs.containsKey(claim.token())) {
			reply.run();
			return true;
		}
		boolean kept = answer != null && this.bytes + answer.body().length <= MAX_BYTES;
		Run run = new Run(claim, outcome, (kept) ? answer : null, reply);
		this.runs.put(claim.token(), run);
		this.bytes += run.bytes();
		int parts = fullParts(run.bytes());
		run.remainingParts = parts;
		for (int index = 0; index < parts; index++) {
			byte[] part = Arrays.copyOfRange(run.body(), index * this.partBytes, (index + 1) * this.partBytes);
			this.queue.add(new JournalEntry.ResponsePart(claim.key().organisation(), claim.key().value(), claim.token(),
					index, part), now);
		}
		if (parts == 0) {
			this.queue.add(finishedEntry(run), now);
		}
		return kept || answer == null;
	}

	void onRead(JournalEntry entry, boolean wasUnconfirmed, Instant now) {
		Run run = this.runs.get(entry.token());
		if (run == null || !wasUnconfirmed) {
			return;
		}
		if (entry instanceof JournalEntry.ResponsePart) {
			run.remainingParts--;
			if (run.remainingParts == 0) {
				this.queue.add(finishedEntry(run), now);
			}
		}
		else if (entry instanceof JournalEntry.Finished) {
			this.runs.remove(entry.token());
			this.bytes -= run.bytes();
			run.reply.run();
		}
	}

	@Override
	public String toString() {
		return "FinishingRuns" + this.runs.keySet();
	}

	private int fullParts(int length) {
		return (length == 0) ? 0 : (length - 1) / this.partBytes;
	}

	private JournalEntry finishedEntry(Run run) {
		int parts = fullParts(run.bytes());
		byte[] rest = Arrays.copyOfRange(run.body(), parts * this.partBytes, run.bytes());
		IdempotencyKey key = run.claim.key();
		StoredResponse answer = run.answer;
		return (answer != null)
				? new JournalEntry.Finished(key.organisation(), key.value(), run.claim.token(), run.outcome,
						answer.status(), answer.headers(), parts, rest)
				: new JournalEntry.Finished(key.organisation(), key.value(), run.claim.token(), run.outcome, 0,
						Map.of(), 0, EMPTY_BODY);
	}

	/**
	 * Run that has ended and is being recorded.
	 */
	private static final class Run {

		private final JournalClaim claim;

		private final Outcome outcome;

		private final @Nullable StoredResponse answer;

		private final Runnable reply;

		private int remainingParts;

		Run(JournalClaim claim, Outcome outcome, @Nullable StoredResponse answer, Runnable reply) {
			this.claim = claim;
			this.outcome = outcome;
			this.answer = answer;
			this.reply = reply;
		}

		byte[] body() {
			return (this.answer != null) ? this.answer.body() : EMPTY_BODY;
		}

		int bytes() {
			return body().length;
		}

	}

}
