package org.sardineport.wire.stream;

import java.nio.ByteBuffer;
import java.time.Duration;

import com.google.protobuf.ByteString;
import org.sardineport.core.stream.OriginQuery;
import org.sardineport.core.stream.OriginReply;
import org.sardineport.core.stream.OriginReport;
import org.sardineport.core.stream.OriginStorageRequest;
import org.sardineport.core.stream.StreamKey;
import org.sardineport.core.stream.StreamOriginMessage;
import org.sardineport.wire.message.Envelope;
import org.sardineport.wire.transport.MalformedMessageException;
import org.sardineport.wire.transport.PeerCodec;

/**
 * Converts messages about the origin of streams to bytes and back. A message is a byte
 * for its kind, the key and the correlation, followed by the fields of its kind; numbers
 * are big-endian. Decoding rejects the whole message if a byte is missing, left over or
 * out of range. Holds no state and may be used by any thread.
 */
public final class StreamOriginCodec implements PeerCodec<StreamOriginMessage> {

	private static final byte REPORT = 1;

	private static final byte QUERY = 2;

	private static final byte REPLY = 3;

	private static final byte STORAGE_REQUEST = 4;

	/** Bytes of the kind, the key and the correlation. */
	private static final int HEADER_BYTES = 1 + 2 * Long.BYTES + Integer.BYTES;

	private StreamOriginCodec() {
	}

	/**
	 * Returns the codec.
	 * @return the codec
	 */
	public static StreamOriginCodec create() {
		return new StreamOriginCodec();
	}

	@Override
	public Class<StreamOriginMessage> type() {
		return StreamOriginMessage.class;
	}

	@Override
	public Envelope.BodyCase bodyCase() {
		return Envelope.BodyCase.STREAM_ORIGIN;
	}

	/**
	 * Writes a message as the envelope's body.
	 * @throws IllegalArgumentException if a software version is longer than
	 * {@value RunOriginBytes#MAXIMUM_VERSION_BYTES} bytes in UTF-8
	 */
	@Override
	public void encode(StreamOriginMessage message, Envelope.Builder envelope) {
		envelope.setStreamOrigin(ByteString.copyFrom(bytes(message).flip()));
	}

	private static ByteBuffer bytes(StreamOriginMessage message) {
		if (message instanceof OriginReport report) {
			int size = HEADER_BYTES + Integer.BYTES + RunOriginBytes.size(report.run());
			ByteBuffer out = header(size, REPORT, report.key(), report.correlation());
			out.putInt(Math.toIntExact(report.keep().toMillis()));
			RunOriginBytes.write(report.run(), out);
			return out;
		}
		if (message instanceof OriginReply reply) {
			int size = HEADER_BYTES + RunOriginBytes.size(reply.record());
			ByteBuffer out = header(size, REPLY, reply.key(), reply.correlation());
			RunOriginBytes.write(reply.record(), out);
			return out;
		}
		if (message instanceof OriginStorageRequest request) {
			int size = HEADER_BYTES + RunOriginBytes.size(request.run());
			ByteBuffer out = header(size, STORAGE_REQUEST, request.key(), 0);
			RunOriginBytes.write(request.run(), out);
			return out;
		}
		if (message instanceof OriginQuery query) {
			return header(HEADER_BYTES, QUERY, query.key(), query.correlation());
		}
		throw new IllegalArgumentException("unknown message " + message.getClass());
	}

	private static ByteBuffer header(int size, byte kind, StreamKey key, int correlation) {
		return ByteBuffer.allocate(size).put(kind).putLong(key.high()).putLong(key.low()).putInt(correlation);
	}

	@Override
	public StreamOriginMessage decode(Envelope envelope) throws MalformedMessageException {
		try {
			ByteBuffer in = envelope.getStreamOrigin().asReadOnlyByteBuffer();
			StreamOriginMessage message = read(in);
			if (in.hasRemaining()) {
				throw new IllegalArgumentException("%d bytes are left over".formatted(in.remaining()));
			}
			return message;
		}
		catch (RuntimeException ex) {
			throw MalformedMessageException.of("stream origin message can't be read", ex);
		}
	}

	private static StreamOriginMessage read(ByteBuffer in) {
		byte kind = in.get();
		StreamKey key = new StreamKey(in.getLong(), in.getLong());
		int correlation = in.getInt();
		return switch (kind) {
			case REPORT -> report(key, correlation, in);
			case QUERY -> new OriginQuery(key, correlation);
			case REPLY -> new OriginReply(key, correlation, RunOriginBytes.readRecord(in));
			case STORAGE_REQUEST -> new OriginStorageRequest(key, RunOriginBytes.readRun(in));
			default -> throw new IllegalArgumentException("kind must be 1 to 4, found %d".formatted(kind));
		};
	}

	private static OriginReport report(StreamKey key, int correlation, ByteBuffer in) {
		Duration keep = Duration.ofMillis(in.getInt());
		return new OriginReport(key, RunOriginBytes.readRun(in), keep, correlation);
	}

}
