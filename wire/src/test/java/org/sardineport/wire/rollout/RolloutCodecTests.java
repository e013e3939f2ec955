package org.sardineport.wire.rollout;

import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.rollout.ArmEvidence;
import org.sardineport.core.rollout.LatencyHistogram;
import org.sardineport.core.rollout.RolloutAnnouncement;
import org.sardineport.core.rollout.RolloutMessage;
import org.sardineport.core.rollout.RolloutPhase;
import org.sardineport.core.rollout.RolloutReport;
import org.sardineport.core.rollout.RolloutStage;
import org.sardineport.core.rollout.RouteEvidence;
import org.sardineport.wire.message.Envelope;
import org.sardineport.wire.transport.MalformedMessageException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class RolloutCodecTests {

	private static final PoolName POOL = PoolName.of("pool");

	private final RolloutCodec codec = RolloutCodec.create();

	private final SplittableRandom random = new SplittableRandom(3);

	@Test
	void readsWhatItWrote() throws MalformedMessageException {
		for (RolloutPhase phase : RolloutPhase.values()) {
			RolloutMessage announcement = new RolloutAnnouncement(POOL, new RolloutStage(4, 9, phase, 0.25, 3),
					Duration.ofMillis(1234), Duration.ofMillis(250));
			assertThat(this.codec.decode(encode(announcement))).isEqualTo(announcement);
			RolloutMessage report = new RolloutReport(POOL, 4, 9, phase, 3, 40, 5,
					Map.of("one", new RouteEvidence(arm(), arm()), "two", new RouteEvidence(arm(), arm())));
			assertThat(this.codec.decode(encode(report))).isEqualTo(report);
		}
	}

	// A damaged message ended the thread that reads them.
	@Test
	void damagedMessagesAreRejectedOrRead() {
		byte[] sound = encode(new RolloutReport(POOL, 4, 9, RolloutPhase.CANARY, 3, 40, 5,
				Map.of("r", new RouteEvidence(arm(), arm()))))
			.getRollout()
			.toByteArray();
		for (int i = 0; i < 5000; i++) {
			byte[] damaged = sound.clone();
			damaged[this.random.nextInt(damaged.length)] = (byte) this.random.nextInt(256);
			int length = this.random.nextInt(damaged.length + 1);
			Envelope envelope = Envelope.newBuilder().setRollout(ByteString.copyFrom(damaged, 0, length)).build();
			try {
				assertThat(this.codec.decode(envelope)).isNotNull();
			}
			catch (MalformedMessageException ex) {
				assertThat(ex).hasMessageContaining("rollout message");
			}
		}
	}

	@Test
	void unknownKindIsRejected() {
		byte[] body = encode(new RolloutAnnouncement(POOL, new RolloutStage(1, 1, RolloutPhase.FULL, 0, 0),
				Duration.ZERO, Duration.ZERO))
			.getRollout()
			.toByteArray();
		body[0] = 99;
		Envelope later = Envelope.newBuilder().setRollout(ByteString.copyFrom(body)).build();
		assertThatExceptionOfType(MalformedMessageException.class).isThrownBy(() -> this.codec.decode(later));
	}

	private Envelope encode(RolloutMessage message) {
		Envelope.Builder envelope = Envelope.newBuilder();
		this.codec.encode(message, envelope);
		return envelope.build();
	}

	private ArmEvidence arm() {
		int[] first = new int[LatencyHistogram.BUCKETS];
		first[this.random.nextInt(first.length)] = 1 + this.random.nextInt(1000);
		int[] tokens = new int[LatencyHistogram.BUCKETS];
		tokens[0] = 7;
		tokens[LatencyHistogram.BUCKETS - 1] = 2;
		return ArmEvidence.of(this.random.nextInt(100), this.random.nextInt(100), LatencyHistogram.of(first),
				LatencyHistogram.of(tokens));
	}

}
