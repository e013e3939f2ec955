package org.sardineport.wire.rollout;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.rollout.RolloutAnnouncement;
import org.sardineport.core.rollout.RolloutMessage;
import org.sardineport.core.rollout.RolloutPhase;
import org.sardineport.core.rollout.RolloutReport;
import org.sardineport.core.rollout.RolloutStage;
import org.sardineport.core.rollout.RouteEvidence;
import org.sardineport.wire.message.Envelope;
import org.sardineport.wire.transport.MalformedMessageException;
import org.sardineport.wire.transport.PeerCodec;

/**
 * Converts messages about rollouts to bytes and back. A message is a byte for its kind,
 * the pool, the order's number, the claim and a byte for the phase, followed by the
 * fields of its kind; numbers are big-endian, texts are UTF-8 after their length in two
 * bytes. Decoding rejects the whole message if a byte is missing, left over or out of
 * range. Holds no state and may be used by any thread.
 */
public final class RolloutCodec implements PeerCodec<RolloutMessage> {

	private static final byte ANNOUNCEMENT = 1;

	private static final byte REPORT = 2;

	private static final int MAXIMUM_TEXT_BYTES = 1024;

	private static final int MAXIMUM_BYTES = 4 * MAXIMUM_TEXT_BYTES
			+ RolloutReport.MAX_ROUTES * (MAXIMUM_TEXT_BYTES + EvidenceBytes.MAXIMUM);

	private static final RolloutPhase[] PHASES = RolloutPhase.values();

	private RolloutCodec() {
	}

	/**
	 * Returns the codec.
	 * @return the codec
	 */
	public static RolloutCodec create() {
		return new RolloutCodec();
	}

	@Override
	public Class<RolloutMessage> type() {
		return RolloutMessage.class;
	}

	@Override
	public Envelope.BodyCase bodyCase() {
		return Envelope.BodyCase.ROLLOUT;
	}

	/**
	 * Writes a message as the envelope's body.
	 * @throws IllegalArgumentException if a name is longer than
	 * {@value #MAXIMUM_TEXT_BYTES} bytes in UTF-8
	 */
	@Override
	public void encode(RolloutMessage message, Envelope.Builder envelope) {
		ByteBuffer out = ByteBuffer.allocate(MAXIMUM_BYTES);
		if (message instanceof RolloutAnnouncement announcement) {
			write(announcement, out);
		}
		else if (message instanceof RolloutReport report) {
			write(report, out);
		}
		else {
			throw new IllegalArgumentException("unknown message " + message.getClass());
		}
		envelope.setRollout(ByteString.copyFrom(out.flip()));
	}

	private static void write(RolloutAnnouncement announcement, ByteBuffer out) {
		RolloutStage stage = announcement.stage();
		header(ANNOUNCEMENT, announcement.pool(), stage.revision(), stage.term(), stage.phase(), out);
		out.putDouble(stage.share()).putInt(stage.servers());
		out.putInt(millis(announcement.age())).putInt(millis(announcement.interval()));
	}

	private static void write(RolloutReport report, ByteBuffer out) {
		header(REPORT, report.pool(), report.revision(), report.term(), report.phase(), out);
		out.putInt(report.targetSent()).putInt(report.sent()).putInt(report.othersInFlight());
		out.put((byte) report.routes().size());
		report.routes().forEach((route, evidence) -> {
			text(route, out);
			EvidenceBytes.write(evidence, out);
		});
	}

	private static void header(byte kind, PoolName pool, long revision, long term, RolloutPhase phase, ByteBuffer out) {
		out.put(kind);
		text(pool.value(), out);
		out.putLong(revision).putLong(term).put((byte) phase.ordinal());
	}

	private static void text(String text, ByteBuffer out) {
		byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
		if (utf8.length > MAXIMUM_TEXT_BYTES) {
			throw new IllegalArgumentException(
					"name must have at most %d bytes, found %d".formatted(MAXIMUM_TEXT_BYTES, utf8.length));
		}
		out.putShort((short) utf8.length).put(utf8);
	}

	private static int millis(Duration duration) {
		return (int) Math.min(Integer.MAX_VALUE, duration.toMillis());
	}

	@Override
	public RolloutMessage decode(Envelope envelope) throws MalformedMessageException {
		try {
			ByteBuffer in = envelope.getRollout().asReadOnlyByteBuffer();
			RolloutMessage message = read(in);
			if (in.hasRemaining()) {
				throw new IllegalArgumentException("%d bytes are left over".formatted(in.remaining()));
			}
			return message;
		}
		catch (RuntimeException ex) {
			throw MalformedMessageException.of("rollout message can't be read", ex);
		}
	}

	private static RolloutMessage read(ByteBuffer in) {
		byte kind = in.get();
		PoolName pool = PoolName.of(text(in));
		long revision = in.getLong();
		long term = in.getLong();
		RolloutPhase phase = PHASES[inRange(in.get(), PHASES.length - 1, "phase")];
		return switch (kind) {
			case ANNOUNCEMENT ->
				new RolloutAnnouncement(pool, new RolloutStage(revision, term, phase, in.getDouble(), in.getInt()),
						Duration.ofMillis(in.getInt()), Duration.ofMillis(in.getInt()));
			case REPORT ->
				new RolloutReport(pool, revision, term, phase, in.getInt(), in.getInt(), in.getInt(), routes(in));
			default -> throw new IllegalArgumentException("kind must be 1 or 2, found %d".formatted(kind));
		};
	}

	private static Map<String, RouteEvidence> routes(ByteBuffer in) {
		int count = inRange(in.get(), RolloutReport.MAX_ROUTES, "number of routes");
		Map<String, RouteEvidence> routes = new HashMap<>();
		for (int i = 0; i < count; i++) {
			routes.put(text(in), EvidenceBytes.read(in));
		}
		return routes;
	}

	private static String text(ByteBuffer in) {
		byte[] utf8 = new byte[inRange(in.getShort(), MAXIMUM_TEXT_BYTES, "length of name")];
		in.get(utf8);
		return new String(utf8, StandardCharsets.UTF_8);
	}

	private static int inRange(int value, int maximum, String name) {
		if (value < 0 || value > maximum) {
			throw new IllegalArgumentException("%s must be 0 to %d, found %d".formatted(name, maximum, value));
		}
		return value;
	}

}
