package org.sardineport.core.journal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.port.log.LogService;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

class JournalPartitionTests {

	private static final Instant START = Instant.parse("2026-12-03T20:00:00Z");

	private static final Duration WINDOW = Duration.ofHours(1);

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(8);

	private static final JournalLimits LIMITS = JournalLimits.of(WINDOW);

	private final List<AcceptDecision> accepted = new ArrayList<>();

	private final List<DispatchDecision> dispatched = new ArrayList<>();

	private final List<List<JournalEntry>> log = new ArrayList<>();

	private Instant now = START;

	private static JournalPartition partition(String daemon) {
		return JournalPartition.create(LIMITS, JournalWriter.create(DaemonId.of(daemon), 1), (holder, boot) -> false);
	}

	private static JournalPartition ready(String daemon) {
		JournalPartition partition = partition(daemon);
		partition.readEnded(partition.beginRead(), 0, true, START);
		return partition;
	}

	private void accept(JournalPartition partition, String key, Instant issuedAt) {
		partition.accept(KeyedRequests.of(key, 1, false, issuedAt, REQUEST_TIMEOUT), this.now, this.accepted::add);
	}

	private void append(JournalPartition partition) {
		AppendBatch batch = partition.nextAppend();
		this.log.add(batch.entries());
		partition.appended(batch);
	}

	private void readFrom(JournalPartition partition, int first) {
		long read = partition.beginRead();
		for (int offset = first; offset < this.log.size(); offset++) {
			partition.read(offset, this.now, this.log.get(offset), this.now);
		}
		partition.readEnded(read, this.log.size(), true, this.now);
	}

	private RefusalReason refusalReason() {
		AcceptDecision last = this.accepted.get(this.accepted.size() - 1);
		assertThat(last).isInstanceOf(AcceptDecision.Refused.class);
		return ((AcceptDecision.Refused) last).refusal().reason();
	}

	@Test
	void refusesRequestsBeforeReplayWindowIsRead() {
		accept(partition("d"), "key", START);
		assertThat(refusalReason()).isEqualTo(RefusalReason.JOURNAL_UNAVAILABLE);
	}

	@Test
	void refusesKeysOlderThanTheWindowAndFromTheFuture() {
		JournalPartition partition = ready("d");
		accept(partition, "old", START.minus(WINDOW).minusMillis(1));
		assertThat(refusalReason()).isEqualTo(RefusalReason.KEY_OUT_OF_WINDOW);
		accept(partition, "new", START.plus(LIMITS.clockTolerance()).plusMillis(1));
		assertThat(refusalReason()).isEqualTo(RefusalReason.KEY_OUT_OF_WINDOW);
	}

	@Test
	void refusesKeysIssuedBeforeLogTruncation() {
		JournalPartition partition = partition("d");
		partition.read(7, START, List.of(), this.now);
		partition.readEnded(partition.beginRead(), 8, true, this.now);
		this.now = START.plus(LIMITS.clockTolerance());
		accept(partition, "before", START);
		assertThat(refusalReason()).isEqualTo(RefusalReason.KEY_OUT_OF_WINDOW);
		accept(partition, "after", this.now);
		assertThat(partition.unconfirmedEntries()).isEqualTo(1);
	}

	@Test
	void isNotReadyWhileHistoryIsIncompleteForAllKeys() {
		JournalPartition partition = partition("d");
		partition.readEnded(partition.beginRead(), 5, true, START);
		assertThat(partition.isReady(START)).isFalse();
		assertThat(partition.isReady(START.plus(LIMITS.clockTolerance()))).isTrue();
	}

	@Test
	void doesNotDispatchAfterRetentionDeletedItsRecords() {
		JournalPartition partition = ready("d");
		accept(partition, "key", START);
		append(partition);
		readFrom(partition, 0);
		JournalClaim claim = ((AcceptDecision.Accepted) this.accepted.get(0)).claim();
		partition.readExpired();
		assertThat(partition.nextOffset()).isEqualTo(LogService.EARLIEST);
		this.now = START.plusSeconds(1);
		this.log.addAll(List.of(List.of(), List.of(), List.of()));
		readFrom(partition, 3);
		partition.dispatch(claim, BackendServerId.of("s"), "stream", this.now.plus(REQUEST_TIMEOUT), this.now,
				this.dispatched::add);
		append(partition);
		readFrom(partition, 4);
		append(partition);
		readFrom(partition, 5);
		assertThat(this.dispatched).singleElement().isNotInstanceOf(DispatchDecision.Won.class);
	}

	@Test
	void resendsDoubtfulEntryOnlyAfterLaterReadMissedIt() {
		JournalPartition partition = ready("d");
		accept(partition, "key", START);
		long early = partition.beginRead();
		partition.appendFailed(partition.nextAppend(), LogFailure.UNKNOWN);
		assertThat(partition.readEnded(early, 0, true, this.now)).isZero();
		assertThat(partition.readEnded(partition.beginRead(), 0, false, this.now)).isZero();
		assertThat(partition.readEnded(partition.beginRead(), 0, true, this.now)).isEqualTo(1);
	}

	@Test
	void countsDuplicateEntryOnceWhenReadsLag() {
		JournalPartition partition = ready("d");
		accept(partition, "key", START);
		AppendBatch first = partition.nextAppend();
		partition.appendFailed(first, LogFailure.UNKNOWN);
		partition.readEnded(partition.beginRead(), 0, true, this.now);
		this.log.add(first.entries());
		append(partition);
		readFrom(partition, 0);
		assertThat(this.accepted).singleElement().isInstanceOf(AcceptDecision.Accepted.class);
		assertThat(partition.active()).hasSize(1);
	}

	@Test
	void ignoresRedeliveredRecords() {
		JournalPartition partition = ready("d");
		accept(partition, "key", START);
		append(partition);
		readFrom(partition, 0);
		readFrom(partition, 0);
		assertThat(this.accepted).hasSize(1);
		assertThat(partition.keyCount()).isEqualTo(1);
	}

	@Test
	void ignoresAcceptedEntryAppendedAfterReplayWindow() {
		JournalPartition partition = ready("d");
		accept(partition, "key", START);
		append(partition);
		this.now = START.plus(WINDOW).plusMillis(1);
		readFrom(partition, 0);
		assertThat(refusalReason()).isEqualTo(RefusalReason.KEY_OUT_OF_WINDOW);
		assertThat(partition.active()).isEmpty();
	}

	@Test
	void reportsUnknownAtDeadlineDuringOutageAndDiscardsEntries() {
		JournalPartition partition = ready("d");
		accept(partition, "key", START);
		partition.appendFailed(partition.nextAppend(), LogFailure.UNAVAILABLE);
		this.now = START.plus(REQUEST_TIMEOUT).minusMillis(1);
		partition.tick(this.now);
		this.now = START.plus(REQUEST_TIMEOUT);
		partition.tick(this.now);
		assertThat(((AcceptDecision.Refused) this.accepted.get(0)).refusal().outcome()).isEqualTo(Outcome.UNKNOWN);
		assertThat(partition.unconfirmedEntries()).isZero();
	}

	@Test
	void reportsNotRunBeforeDeadlineWhenReleaseWasReadBack() {
		JournalPartition partition = ready("d");
		accept(partition, "key", START);
		partition.appendFailed(partition.nextAppend(), LogFailure.UNKNOWN);
		this.now = START.plus(REQUEST_TIMEOUT).minusMillis(500);
		partition.tick(this.now);
		append(partition);
		readFrom(partition, 0);
		assertThat(((AcceptDecision.Refused) this.accepted.get(0)).refusal().outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void refusesRequestsWhenQueueIsFull() {
		JournalPartition partition = ready("d");
		for (int number = 0; number < LIMITS.maxQueuedEntries(); number++) {
			accept(partition, "key" + number, START);
		}
		assertThat(this.accepted).isEmpty();
		accept(partition, "more", START);
		assertThat(refusalReason()).isEqualTo(RefusalReason.JOURNAL_BUSY);
	}

	@Test
	void reportsNotRunWhenSupersededClaimWasReleased() {
		JournalPartition gone = ready("gone");
		accept(gone, "key", START);
		append(gone);
		JournalPartition retrying = JournalPartition.create(LIMITS, JournalWriter.create(DaemonId.of("r"), 1),
				(holder, boot) -> holder.equals(DaemonId.of("gone")));
		retrying.readEnded(retrying.beginRead(), 0, true, START);
		readFrom(retrying, 0);
		JournalPartition releasing = ready("x");
		readFrom(releasing, 0);
		ActiveKey held = releasing.active().iterator().next();
		releasing.takeOver(held, null, START.plus(REQUEST_TIMEOUT), this.now,
				(decision) -> releasing.release(((AcceptDecision.Accepted) decision).claim(), this.now, (state) -> {
				}));
		append(releasing);
		readFrom(releasing, 1);
		append(releasing);
		accept(retrying, "key", START);
		append(retrying);
		readFrom(retrying, 1);
		assertThat(refusalReason()).isEqualTo(RefusalReason.JOURNAL_UNAVAILABLE);
		assertThat(((AcceptDecision.Refused) this.accepted.get(0)).refusal().outcome()).isEqualTo(Outcome.NOT_RUN);
	}

}
