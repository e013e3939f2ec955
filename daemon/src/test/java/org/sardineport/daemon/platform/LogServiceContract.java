package org.sardineport.daemon.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.port.log.LogRecord;
import org.sardineport.core.port.log.LogService;
import org.sardineport.core.port.log.LogServiceException;
import org.sardineport.core.port.log.LogSlice;
import org.sardineport.standins.log.AppendFault;
import org.sardineport.standins.log.InMemoryLogService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Contract of {@link LogService} implementations, with and without injected faults.
 */
abstract class LogServiceContract {

	private static final String STREAM = "contract";

	private static final Duration LONG_POLL_TIMEOUT = Duration.ofSeconds(20);

	// Returns the implementation under test.
	abstract LogService log();

	// Returns the in-memory service that the implementation under test uses.
	abstract InMemoryLogService service();

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static <T> T get(CompletionStage<T> stage) {
		return stage.toCompletableFuture().join();
	}

	private static LogFailure failureOf(CompletionStage<?> stage) {
		try {
			Object result = stage.toCompletableFuture().join();
			throw new AssertionError("expected a failure but got " + result);
		}
		catch (CompletionException ex) {
			assertThat(ex).hasCauseInstanceOf(LogServiceException.class);
			return ((LogServiceException) ex.getCause()).failure();
		}
	}

	private LogSlice read(long from) {
		return get(log().read(STREAM, from, 100, Duration.ZERO));
	}

	private static List<String> texts(LogSlice slice) {
		return slice.records().stream().map((record) -> new String(record.value(), StandardCharsets.UTF_8)).toList();
	}

	private List<String> readAll() {
		List<String> found = new ArrayList<>();
		long next = LogService.EARLIEST;
		LogSlice slice;
		do {
			slice = get(log().read(STREAM, next, 2, Duration.ZERO));
			found.addAll(texts(slice));
			next = slice.nextOffset();
		}
		while (!slice.isAtEnd());
		return found;
	}

	@Test
	void readsRecordsInOrderOfTheirOffsets() {
		long first = get(log().append(STREAM, bytes("a")));
		long second = get(log().append(STREAM, bytes("b")));
		LogSlice slice = read(LogService.EARLIEST);
		assertThat(slice.records()).extracting(LogRecord::offset).containsExactly(first, second);
		assertThat(texts(slice)).containsExactly("a", "b");
		assertThat(slice.isAtEnd()).isTrue();
		assertThat(texts(read(second))).containsExactly("b");
	}

	@Test
	void readsAnEmptyStream() {
		LogSlice slice = read(LogService.EARLIEST);
		assertThat(slice.records()).isEmpty();
		assertThat(slice.isAtEnd()).isTrue();
	}

	@Test
	void readsInPagesWithoutLossOrRepetition() {
		service().faults().offsetStep(3);
		for (int i = 0; i < 5; i++) {
			get(log().append(STREAM, bytes("r" + i)));
		}
		assertThat(readAll()).containsExactly("r0", "r1", "r2", "r3", "r4");
	}

	@Test
	void readsEmptyRecords() {
		get(log().append(STREAM, new byte[0]));
		assertThat(read(LogService.EARLIEST).records()).singleElement()
			.satisfies((record) -> assertThat(record.value()).isEmpty());
	}

	@Test
	void waitsForTheNextRecord() {
		CompletionStage<LogSlice> waiting = log().read(STREAM, 0, 10, LONG_POLL_TIMEOUT);
		get(log().append(STREAM, bytes("late")));
		assertThat(texts(get(waiting))).containsExactly("late");
	}

	@Test
	void returnsNoRecordsWhenTheWaitEnds() {
		assertThat(get(log().read(STREAM, 0, 10, Duration.ofMillis(5))).records()).isEmpty();
	}

	@Test
	void refusesAnExpiredOffset() {
		get(log().append(STREAM, bytes("a")));
		long second = get(log().append(STREAM, bytes("b")));
		service().truncate(STREAM, second);
		assertThat(failureOf(log().read(STREAM, 0, 10, Duration.ZERO))).isEqualTo(LogFailure.OFFSET_EXPIRED);
		assertThat(texts(read(LogService.EARLIEST))).containsExactly("b");
	}

	@Test
	void reportsUnavailableDuringAnOutage() {
		service().faults().outage(true);
		assertThat(failureOf(log().append(STREAM, bytes("a")))).isEqualTo(LogFailure.UNAVAILABLE);
		assertThat(failureOf(log().read(STREAM, 0, 10, Duration.ZERO))).isEqualTo(LogFailure.UNAVAILABLE);
		service().faults().outage(false);
		assertThat(readAll()).isEmpty();
	}

	@Test
	void reportsUnavailableIfTheAppendRateIsExceeded() {
		service().faults().appendsPerSecond(0);
		assertThat(failureOf(log().append(STREAM, bytes("a")))).isEqualTo(LogFailure.UNAVAILABLE);
		assertThat(service().records(STREAM)).isEmpty();
	}

	@Test
	void refusesARecordThatIsTooLarge() {
		assertThat(failureOf(log().append(STREAM, new byte[2 * 1024 * 1024]))).isEqualTo(LogFailure.RECORD_TOO_LARGE);
	}

	@ParameterizedTest
	@EnumSource
	void reportsUnknownUnlessTheAppendHadNoEffect(AppendFault fault) {
		service().faults().failNextAppends(fault);
		LogFailure failure = failureOf(log().append(STREAM, bytes("a")));
		assertThat(failure.isCertainlyNotApplied()).isEqualTo(fault == AppendFault.REFUSED);
		assertThat(service().records(STREAM)).hasSize((fault.isApplied()) ? 1 : 0);
		service().releaseLateAppends();
		assertThat(service().records(STREAM)).hasSize((fault.isApplied() || fault == AppendFault.LATE_EFFECT) ? 1 : 0);
	}

	@Test
	void readsAllRecordsAfterALostResponse() {
		service().faults().failNextAppends(AppendFault.RESPONSE_LOST_AFTER_EFFECT);
		failureOf(log().append(STREAM, bytes("a")));
		get(log().append(STREAM, bytes("b")));
		assertThat(readAll()).containsExactly("a", "b");
	}

	@Test
	void showsRecordsOnlyAfterTheReadLag() {
		get(log().append(STREAM, bytes("a")));
		service().faults().readLag(Duration.ofDays(1));
		assertThat(read(LogService.EARLIEST).records()).isEmpty();
		service().faults().readLag(Duration.ZERO);
		assertThat(texts(read(LogService.EARLIEST))).containsExactly("a");
	}

	@Test
	void mayDeliverARecordAgain() {
		get(log().append(STREAM, bytes("a")));
		long second = get(log().append(STREAM, bytes("b")));
		service().faults().duplicates(true);
		LogSlice slice = read(second);
		assertThat(texts(slice)).endsWith("b");
		assertThat(slice.nextOffset()).isGreaterThan(second);
	}

}
