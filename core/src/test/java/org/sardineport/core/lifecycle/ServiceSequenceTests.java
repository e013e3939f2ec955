package org.sardineport.core.lifecycle;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceSequenceTests {

	private final List<String> events = new ArrayList<>();

	private Service service(String name, CompletionStage<Void> start) {
		return new Service() {

			@Override
			public CompletionStage<Void> start() {
				ServiceSequenceTests.this.events.add("start " + name);
				return start;
			}

			@Override
			public CompletionStage<Void> stop() {
				ServiceSequenceTests.this.events.add("stop " + name);
				return CompletableFuture.completedStage(null);
			}

		};
	}

	@Test
	void stopsStartedServicesOnceInReverseOrder() {
		ServiceSequence sequence = ServiceSequence.of(List.of(service("a", CompletableFuture.completedStage(null)),
				service("b", CompletableFuture.completedStage(null))));
		sequence.start();
		sequence.stop();
		sequence.stop();
		assertThat(this.events).containsExactly("start a", "start b", "stop b", "stop a");
	}

	@Test
	void startsNoFurtherServiceAfterStop() {
		CompletableFuture<Void> pending = new CompletableFuture<>();
		ServiceSequence sequence = ServiceSequence
			.of(List.of(service("a", pending), service("b", CompletableFuture.completedStage(null))));
		CompletionStage<Void> started = sequence.start();
		sequence.stop();
		pending.complete(null);
		assertThat(started.toCompletableFuture()).isCompletedExceptionally();
		assertThat(this.events).containsExactly("start a", "stop a");
	}

}
