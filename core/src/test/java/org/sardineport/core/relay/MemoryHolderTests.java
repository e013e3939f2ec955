package org.sardineport.core.relay;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against memory that stays with callers that have stopped within their bodies.
 */
class MemoryHolderTests {

	private static MemoryHolder<String> holder(String name, long bytes, int stalledSeconds) {
		return new MemoryHolder<>(name, bytes, Duration.ofSeconds(stalledSeconds));
	}

	@Test
	void theMostForTheLongestIsGivenUp() {
		assertThat(MemoryHolder.worst(List.of(holder("small", 1000, 20), holder("large", 1_000_000, 10),
				holder("recent", 4_000_000, 1), holder("short", 1_000_000, 3))))
			.contains("large");
	}

	@Test
	void requestThatMakesProgressIsKept() {
		assertThat(MemoryHolder.worst(List.of(holder("slow link", 4_000_000, 1)))).isEmpty();
	}

	@Test
	void requestThatHoldsNothingIsKept() {
		assertThat(MemoryHolder.worst(List.of(holder("no body", 0, 60)))).isEmpty();
	}

}
