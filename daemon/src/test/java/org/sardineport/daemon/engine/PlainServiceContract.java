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
 * What each adapter to plain services must do, faults included.
 */
abstract class PlainServiceContract {

	private static final Duration LONG = Duration.ofSeconds(15);

	private static final Duration SHORT = Duration.ofMillis(300);

	// The adapter under test.
	abstract PlainService service();

	// A backend server that executes each POST by its key.
	abstract BackendServer server();

	// A backend server that does not listen.
	abstract BackendServer absentServer();

	abstract void setFault(ServiceFault fault);

	abstract Map<String, Integer> executions();

	/**
	 * What goes wrong, how the answer must end, and how often the call is executed.
	 */
	enum Case {

		NOTHING(ServiceFault.NONE, "whole", 1), ANSWER_LOST_AFTER_EFFECT(ServiceFault.RESPONSE_LOST, "BROKEN", 1),
		ANSWER_TRUNCATED(ServiceFault.TRUNCATED, "TRUNCATED", 1),
		REFUSED_BY_THE_SERVICE(ServiceFault.REFUSED, "whole", 0), TIME_OUT(ServiceFault.SILENT, "TIMED_OUT", 1);

		private final ServiceFault fault;

		private final String ending;

		private final int executions;

		Case(ServiceFault fault, String ending, int executions) {
			this.fault = fault;
			this.ending = ending;
			this.executions = executions;
		}

	}

	@ParameterizedTest
	@EnumSource
	void endsOnceAndExecutesAtMostOnce(Case fault) throws Exception {
		setFault(fault.fault);
		RecordingListener listener = new RecordingListener();
		service().send(server(), posting("k1", (fault == Case.TIME_OUT) ? SHORT : LONG), listener);
		assertThat(listener.ending()).isEqualTo(fault.ending);
		assertThat(listener.endings()).isOne();
		assertThat(listener.eventsAfterTheEnd()).isZero();
		assertThat(executions().getOrDefault("k1", 0)).isEqualTo(fault.executions);
	}

	@Test
	void passesTheStatusOfARefusal() throws Exception {
		setFault(ServiceFault.REFUSED);
		RecordingListener listener = new RecordingListener();
		service().send(server(), posting("k1", LONG), listener);
		assertThat(listener.ending()).isEqualTo("whole");
		assertThat(listener.status()).isEqualTo(503);
	}

	@Test
	void saysThatNothingWasSentIfNobodyListens() throws Exception {
		RecordingListener listener = new RecordingListener();
		service().send(absentServer(), posting("k1", LONG), listener);
		assertThat(listener.failure()).isEqualTo(BackendFailure.NOT_CONNECTED);
		assertThat(listener.failure().isCertainlyUnsent()).isTrue();
	}

	@Test
	void sendsNothingAfterTheDeadline() throws Exception {
		RecordingListener listener = new RecordingListener();
		service().send(server(), posting("k1", Duration.ofSeconds(-1)), listener);
		assertThat(listener.failure()).isEqualTo(BackendFailure.NOT_CONNECTED);
		assertThat(executions()).isEmpty();
	}

	@Test
	void tellsOfACancellationOnce() throws Exception {
		setFault(ServiceFault.SILENT);
		RecordingListener listener = new RecordingListener();
		Exchange exchange = service().send(server(), posting("k1", LONG), listener);
		exchange.cancel();
		exchange.cancel();
		assertThat(listener.failure()).isEqualTo(BackendFailure.CANCELLED);
		assertThat(listener.endings()).isOne();
	}

	@Test
	void aCancellationAfterTheEndChangesNothing() throws Exception {
		RecordingListener listener = new RecordingListener();
		Exchange exchange = service().send(server(), posting("k1", LONG), listener);
		assertThat(listener.ending()).isEqualTo("whole");
		exchange.cancel();
		RecordingListener next = new RecordingListener();
		service().send(server(), posting("k2", LONG), next);
		assertThat(next.ending()).isEqualTo("whole");
		assertThat(listener.endings()).isOne();
	}

	@Test
	void givesEachRequestItsOwnAnswer() throws Exception {
		List<RecordingListener> listeners = Stream.generate(RecordingListener::new).limit(50).toList();
		for (int i = 0; i < listeners.size(); i++) {
			service().send(server(), posting("key-" + i + ".", LONG), listeners.get(i));
		}
		for (int i = 0; i < listeners.size(); i++) {
			assertThat(listeners.get(i).ending()).isEqualTo("whole");
			assertThat(listeners.get(i).body()).contains("\"key-" + i + ".\"");
		}
	}

	private static BackendRequest posting(String key, Duration patience) {
		return new BackendRequest("s-" + key, "POST", "/postings", List.of(Map.entry("Idempotency-Key", key)),
				"{}".getBytes(StandardCharsets.UTF_8), Instant.now().plus(patience));
	}

}
