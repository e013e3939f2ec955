package org.sardineport.daemon.engine;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.BackendRequest;
import org.sardineport.core.port.backend.Exchange;
import org.sardineport.core.port.backend.PlainService;
import org.sardineport.standins.service.ServiceFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Contract of {@link PlainService} implementations, with and without injected faults.
 */
abstract class PlainServiceContract {

	private static final Duration LONG_TIMEOUT = Duration.ofSeconds(15);

	private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);

	// Returns the implementation under test.
	abstract PlainService service();

	// Returns a backend server that counts the executions of each idempotency key.
	abstract BackendServer server();

	// Returns a backend server that refuses connections.
	abstract BackendServer absentServer();

	abstract void setFault(ServiceFault fault);

	abstract Map<String, Integer> executions();

	/**
	 * An injected fault, the expected outcome of the response, and the expected number of
	 * executions.
	 */
	enum Case {

		NOTHING(ServiceFault.NONE, "whole", 1), RESPONSE_LOST_AFTER_EXECUTION(ServiceFault.RESPONSE_LOST, "BROKEN", 1),
		RESPONSE_TRUNCATED(ServiceFault.TRUNCATED, "TRUNCATED", 1),
		REFUSED_BY_SERVICE(ServiceFault.REFUSED, "whole", 0), TIMEOUT(ServiceFault.SILENT, "TIMED_OUT", 1);

		private final ServiceFault fault;

		private final String expectedOutcome;

		private final int expectedExecutions;

		Case(ServiceFault fault, String expectedOutcome, int expectedExecutions) {
			this.fault = fault;
			this.expectedOutcome = expectedOutcome;
			this.expectedExecutions = expectedExecutions;
		}

	}

	@ParameterizedTest
	@EnumSource
	void endsOnceAndExecutesAtMostOnce(Case fault) throws Exception {
		setFault(fault.fault);
		RecordingListener listener = new RecordingListener();
		service().send(server(), posting("k1", (fault == Case.TIMEOUT) ? SHORT_TIMEOUT : LONG_TIMEOUT), listener);
		assertThat(listener.awaitOutcome()).isEqualTo(fault.expectedOutcome);
		assertThat(listener.endCount()).isOne();
		assertThat(listener.eventsAfterEnd()).isZero();
		assertThat(executions().getOrDefault("k1", 0)).isEqualTo(fault.expectedExecutions);
	}

	@Test
	void passesTheStatusOfARefusal() throws Exception {
		setFault(ServiceFault.REFUSED);
		RecordingListener listener = new RecordingListener();
		service().send(server(), posting("k1", LONG_TIMEOUT), listener);
		assertThat(listener.awaitOutcome()).isEqualTo("whole");
		assertThat(listener.status()).isEqualTo(503);
	}

	@Test
	void reportsThatNothingWasSentIfTheConnectionIsRefused() throws Exception {
		RecordingListener listener = new RecordingListener();
		service().send(absentServer(), posting("k1", LONG_TIMEOUT), listener);
		assertThat(listener.awaitFailure()).isEqualTo(BackendFailure.NOT_CONNECTED);
		assertThat(listener.awaitFailure().isCertainlyUnsent()).isTrue();
	}

	@Test
	void sendsNothingAfterTheDeadline() throws Exception {
		RecordingListener listener = new RecordingListener();
		service().send(server(), posting("k1", Duration.ofSeconds(-1)), listener);
		assertThat(listener.awaitFailure()).isEqualTo(BackendFailure.NOT_CONNECTED);
		assertThat(executions()).isEmpty();
	}

	@Test
	void reportsACancellationOnce() throws Exception {
		setFault(ServiceFault.SILENT);
		RecordingListener listener = new RecordingListener();
		Exchange exchange = service().send(server(), posting("k1", LONG_TIMEOUT), listener);
		exchange.cancel();
		exchange.cancel();
		assertThat(listener.awaitFailure()).isEqualTo(BackendFailure.CANCELLED);
		assertThat(listener.endCount()).isOne();
	}

	@Test
	void ignoresACancellationAfterTheEnd() throws Exception {
		RecordingListener listener = new RecordingListener();
		Exchange exchange = service().send(server(), posting("k1", LONG_TIMEOUT), listener);
		assertThat(listener.awaitOutcome()).isEqualTo("whole");
		exchange.cancel();
		RecordingListener next = new RecordingListener();
		service().send(server(), posting("k2", LONG_TIMEOUT), next);
		assertThat(next.awaitOutcome()).isEqualTo("whole");
		assertThat(listener.endCount()).isOne();
	}

	@Test
	void deliversEachResponseToItsOwnRequest() throws Exception {
		List<RecordingListener> listeners = Stream.generate(RecordingListener::new).limit(50).toList();
		for (int i = 0; i < listeners.size(); i++) {
			service().send(server(), posting("key-" + i + ".", LONG_TIMEOUT), listeners.get(i));
		}
		for (int i = 0; i < listeners.size(); i++) {
			assertThat(listeners.get(i).awaitOutcome()).isEqualTo("whole");
			assertThat(listeners.get(i).body()).contains("\"key-" + i + ".\"");
		}
	}

	private static BackendRequest posting(String key, Duration timeout) {
		return new BackendRequest("s-" + key, "POST", "/postings", List.of(Map.entry("Idempotency-Key", key)),
				"{}".getBytes(StandardCharsets.UTF_8), Instant.now().plus(timeout));
	}

}
