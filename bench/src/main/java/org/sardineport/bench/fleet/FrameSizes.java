package org.sardineport.bench.fleet;

import org.sardineport.core.fleet.Member;
import org.sardineport.core.membership.MembershipMessage;
import org.sardineport.wire.message.Envelope;
import org.sardineport.wire.transport.MembershipCodec;

/**
 * Computes the size of membership messages on the network.
 */
final class FrameSizes {

	/**
	 * Version byte and authentication tag of a frame, and the headers of UDP and IPv4.
	 */
	private static final int HEADER_BYTES = 1 + 16 + 8 + 20;

	private final MembershipCodec codec = MembershipCodec.create();

	int bytes(MembershipMessage message) {
		Member sender = message.updates().members().get(0);
		Envelope.Builder envelope = Envelope.newBuilder()
			.setFleet("production")
			.setSender(sender.id().value())
			.setIncarnation(sender.incarnation())
			.setSenderIp(sender.peerAddress().ip())
			.setSenderPort(sender.peerAddress().port())
			.setSentAtMillis(1_796_284_800_000L)
			.setSequence(100_000);
		this.codec.encode(message, envelope);
		return HEADER_BYTES + envelope.build().getSerializedSize();
	}

}
