package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;
import org.sardineport.core.relay.CallerMemory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link IncompleteHeads}.
 */
class IncompleteHeadsTests {

	private static final long MAXIMUM = 1_000_000;

	private static final long LARGE = 600_000;

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private Instant now = Instant.EPOCH;

	private final CallerMemory memory = CallerMemory.ofMaximum(MAXIMUM);

	private final IncompleteHeads heads = new IncompleteHeads(this.memory, new InstantSource() {

		@Override
		public Instant instant() {
			return IncompleteHeadsTests.this.now;
		}

	});

	private ConnectionLoad load() {
		return new ConnectionLoad(this.heads, ReadSize.ofRequests(4096));
	}

	private void pass(Duration time) {
		this.now = this.now.plus(time);
	}

	@Test
	void headThatIsLateTwiceIsClosed() {
		ConnectionLoad load = load();
		EmbeddedChannel channel = new EmbeddedChannel(load);
		assertThat(load.headGrown(1000)).isTrue();
		pass(TIMEOUT);
		this.heads.closeOverdue(TIMEOUT);
		assertThat(channel.isOpen()).isTrue();
		this.heads.closeOverdue(TIMEOUT);
		assertThat(channel.isOpen()).isFalse();
		assertThat(this.memory.held()).isZero();
	}

	@Test
	void headThatIsCompleteInTimeStaysOpen() {
		ConnectionLoad load = load();
		EmbeddedChannel channel = new EmbeddedChannel(load);
		load.headGrown(1000);
		pass(TIMEOUT);
		this.heads.closeOverdue(TIMEOUT);
		load.requestBegun();
		this.heads.closeOverdue(TIMEOUT);
		assertThat(channel.isOpen()).isTrue();
	}

	@Test
	void stalledHeadIsGivenUpForAnother() {
		ConnectionLoad stalled = load();
		EmbeddedChannel channel = new EmbeddedChannel(stalled);
		stalled.headGrown(LARGE);
		pass(Duration.ofSeconds(2));
		ConnectionLoad next = load();
		assertThat(next.headGrown(LARGE)).isTrue();
		assertThat(channel.isOpen()).isFalse();
		assertThat(this.memory.held()).isEqualTo(LARGE);
	}

	@Test
	void youngHeadIsNotGivenUpForAnother() {
		ConnectionLoad young = load();
		EmbeddedChannel channel = new EmbeddedChannel(young);
		young.headGrown(LARGE);
		assertThat(load().headGrown(LARGE)).isFalse();
		assertThat(channel.isOpen()).isTrue();
	}

	@Test
	void closedConnectionHoldsNothing() {
		ConnectionLoad load = load();
		EmbeddedChannel channel = new EmbeddedChannel(load);
		load.headGrown(1000);
		load.requestBegun();
		load.headGrown(500);
		channel.close();
		assertThat(this.memory.held()).isZero();
		assertThat(load.headGrown(1)).isFalse();
	}

}
