package org.sardineport.wire.scheduling;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import org.assertj.core.api.InstanceOfAssertFactories;
import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.scheduling.PermitDenial;
import org.sardineport.core.scheduling.PermitRefusal;
import org.sardineport.core.scheduling.PermitRelease;
import org.sardineport.core.scheduling.SchedulingMessage;
import org.sardineport.wire.Samples;
import org.sardineport.wire.message.Envelope;
import org.sardineport.wire.message.SchedulingMessage.BodyCase;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a change after which daemons of two builds cannot agree on permits. The
 * samples hold the messages of {@code SchedulingCodecTests} in their order; later kinds
 * follow them and get a resource of their own.
 */
class FormerSchedulingMessagesTests {

	private static final String SAMPLES = "scheduling-a4c0e76.hex";

	/** Kinds of messages that a4c0e76 did not know. */
	private static final String LATER_SAMPLES = "scheduling-later.hex";

	private final SchedulingCodec codec = SchedulingCodec.create();

	private Envelope encode(SchedulingMessage message) {
		Envelope.Builder envelope = Envelope.newBuilder();
		this.codec.encode(message, envelope);
		return envelope.build();
	}

	private SchedulingMessage decode(byte[] envelope) throws Exception {
		return this.codec.decode(Envelope.parseFrom(envelope));
	}

	private static Envelope envelope(org.sardineport.wire.message.SchedulingMessage.Builder body) {
		return Envelope.newBuilder().setScheduling(body).build();
	}

	@Test
	void messagesOfFormerBuildsAreUnderstoodAndWrittenInTheSameWay() throws Exception {
		List<byte[]> samples = Samples.read(SAMPLES, LATER_SAMPLES);
		List<SchedulingMessage> expected = SchedulingCodecTests.messages().limit(samples.size()).toList();
		assertThat(expected).hasSameSizeAs(samples);
		for (int i = 0; i < samples.size(); i++) {
			assertThat(this.codec.decode(Envelope.parseFrom(samples.get(i)))).isEqualTo(expected.get(i));
			assertThat(encode(expected.get(i)).toByteArray()).isEqualTo(samples.get(i));
		}
	}

	@Test
	void eachKindHasASample() throws Exception {
		Set<BodyCase> kinds = EnumSet.of(BodyCase.BODY_NOT_SET);
		for (byte[] sample : Samples.read(SAMPLES, LATER_SAMPLES)) {
			kinds.add(Envelope.parseFrom(sample).getScheduling().getBodyCase());
		}
		assertThat(kinds).containsExactlyInAnyOrder(BodyCase.values());
	}

	@Test
	void unknownFieldsAreIgnored() throws Exception {
		for (byte[] sample : Samples.read(SAMPLES, LATER_SAMPLES)) {
			SchedulingMessage expected = this.codec.decode(Envelope.parseFrom(sample));
			int kind = Envelope.parseFrom(sample).getScheduling().getBodyCase().getNumber();
			assertThat(decode(Samples.withUnknownField(sample))).isEqualTo(expected);
			assertThat(decode(Samples.withUnknownField(sample, Envelope.SCHEDULING_FIELD_NUMBER))).isEqualTo(expected);
			assertThat(decode(Samples.withUnknownField(sample, Envelope.SCHEDULING_FIELD_NUMBER, kind)))
				.isEqualTo(expected);
		}
	}

	// A refusal that is dropped leaves its request waiting until the permit is given up.
	@Test
	void refusalForAnUnknownReasonIsOneForWantOfRoom() throws Exception {
		org.sardineport.wire.message.SchedulingMessage.Builder body = org.sardineport.wire.message.SchedulingMessage
			.newBuilder();
		body.setRefusal(org.sardineport.wire.message.PermitRefusal.newBuilder()
			.setRequest("r1")
			.setBackendServer("s1")
			.setReason("SOME_LATER_REASON"));
		assertThat(this.codec.decode(envelope(body))).asInstanceOf(InstanceOfAssertFactories.type(PermitRefusal.class))
			.satisfies((refusal) -> assertThat(refusal.denial()).isEqualTo(PermitDenial.OVERLOADED));
	}

	// A release that is dropped keeps a place at the backend server taken.
	@Test
	void releaseWithAnUnknownEndIsOneOfACancelledRun() throws Exception {
		org.sardineport.wire.message.SchedulingMessage.Builder body = org.sardineport.wire.message.SchedulingMessage
			.newBuilder();
		body.setRelease(org.sardineport.wire.message.PermitRelease.newBuilder()
			.setRequest("r1")
			.setBackendServer("s1")
			.setEnd(99));
		assertThat(this.codec.decode(envelope(body))).asInstanceOf(InstanceOfAssertFactories.type(PermitRelease.class))
			.satisfies((release) -> assertThat(release.measurement().end()).isEqualTo(RunEnd.CANCELLED));
	}

}
