package org.sardineport.wire.rollout;

import java.nio.ByteBuffer;

import org.sardineport.core.rollout.ArmEvidence;
import org.sardineport.core.rollout.LatencyHistogram;
import org.sardineport.core.rollout.RouteEvidence;

/**
 * Reads and writes the evidence of one route: for each arm the numbers of responses and
 * of errors, then both histograms. A histogram is a byte for the number of buckets that
 * are not empty, and for each its index in a byte and its count.
 */
final class EvidenceBytes {

	/** Maximum size of the evidence of a route. */
	static final int MAXIMUM = 2 * (2 * Integer.BYTES + 2 * (1 + LatencyHistogram.BUCKETS * (1 + Integer.BYTES)));

	private EvidenceBytes() {
	}

	static void write(RouteEvidence evidence, ByteBuffer out) {
		write(evidence.target(), out);
		write(evidence.others(), out);
	}

	private static void write(ArmEvidence arm, ByteBuffer out) {
		out.putInt(arm.succeeded()).putInt(arm.failed());
		write(arm.firstData(), out);
		write(arm.perToken(), out);
	}

	private static void write(LatencyHistogram histogram, ByteBuffer out) {
		int at = out.position();
		out.put((byte) 0);
		byte used = 0;
		for (int i = 0; i < LatencyHistogram.BUCKETS; i++) {
			if (histogram.count(i) > 0) {
				out.put((byte) i).putInt(histogram.count(i));
				used++;
			}
		}
		out.put(at, used);
	}

	/**
	 * Reads the evidence of a route.
	 * @param in the bytes
	 * @return the evidence
	 * @throws IllegalArgumentException if a value is out of range
	 * @throws java.nio.BufferUnderflowException if bytes are missing
	 */
	static RouteEvidence read(ByteBuffer in) {
		return new RouteEvidence(readArm(in), readArm(in));
	}

	private static ArmEvidence readArm(ByteBuffer in) {
		int succeeded = in.getInt();
		int failed = in.getInt();
		return ArmEvidence.of(succeeded, failed, readHistogram(in), readHistogram(in));
	}

	private static LatencyHistogram readHistogram(ByteBuffer in) {
		int[] counts = new int[LatencyHistogram.BUCKETS];
		int used = in.get();
		for (int i = 0; i < used; i++) {
			int bucket = in.get();
			if (bucket < 0 || bucket >= counts.length) {
				throw new IllegalArgumentException(
						"bucket must be 0 to %d, found %d".formatted(counts.length - 1, bucket));
			}
			counts[bucket] = in.getInt();
		}
		return LatencyHistogram.of(counts);
	}

}
