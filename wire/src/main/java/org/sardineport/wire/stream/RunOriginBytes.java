package org.sardineport.wire.stream;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.stream.RunOrigin;
import org.sardineport.core.stream.RunState;
import org.sardineport.core.stream.StreamRecord;

/**
 * Reads and writes what is known of runs. A run is its number, a byte for its state, the
 * length of its version in two bytes and the version in UTF-8. A record is a byte that
 * tells whether it is truncated, a byte for the number of runs, and the runs.
 */
public final class RunOriginBytes {

	/** Maximum length of a software version in bytes. */
	static final int MAXIMUM_VERSION_BYTES = 1_024;

	private static final int RUN_BYTES = Integer.BYTES + 1 + Short.BYTES;

	private static final RunState[] STATES = RunState.values();

	private RunOriginBytes() {
	}

	/**
	 * Returns the number of bytes of a run.
	 * @param run the run
	 * @return the number
	 */
	public static int size(RunOrigin run) {
		return RUN_BYTES + utf8(run).length;
	}

	static int size(StreamRecord record) {
		return 2 + record.runs().stream().mapToInt(RunOriginBytes::size).sum();
	}

	/**
	 * Writes a run.
	 * @param run the run
	 * @param out receives the bytes
	 * @throws IllegalArgumentException if its version is too long
	 */
	public static void write(RunOrigin run, ByteBuffer out) {
		byte[] version = utf8(run);
		if (version.length > MAXIMUM_VERSION_BYTES) {
			throw new IllegalArgumentException(
					"version must have at most %d bytes, found %d".formatted(MAXIMUM_VERSION_BYTES, version.length));
		}
		out.putInt(run.run()).put((byte) run.state().ordinal()).putShort((short) version.length).put(version);
	}

	static void write(StreamRecord record, ByteBuffer out) {
		out.put((byte) (record.isTruncated() ? 1 : 0)).put((byte) record.runs().size());
		record.runs().forEach((run) -> write(run, out));
	}

	private static byte[] utf8(RunOrigin run) {
		return run.version().value().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Reads a run.
	 * @param in the bytes
	 * @return the run
	 * @throws IllegalArgumentException if a value is out of range
	 * @throws java.nio.BufferUnderflowException if bytes are missing
	 */
	public static RunOrigin readRun(ByteBuffer in) {
		int number = in.getInt();
		RunState state = STATES[inRange(in.get(), STATES.length - 1, "state")];
		byte[] version = new byte[inRange(in.getShort(), MAXIMUM_VERSION_BYTES, "length of version")];
		in.get(version);
		SoftwareVersion named = SoftwareVersion.of(text(version));
		RunOrigin run = new RunOrigin(number, state, named);
		if (!run.version().equals(named)) {
			throw new IllegalArgumentException("state %s must not name a version".formatted(state));
		}
		return run;
	}

	private static String text(byte[] utf8) {
		try {
			return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(utf8)).toString();
		}
		catch (CharacterCodingException ex) {
			throw new IllegalArgumentException("version must be UTF-8", ex);
		}
	}

	static StreamRecord readRecord(ByteBuffer in) {
		boolean isTruncated = inRange(in.get(), 1, "truncated") == 1;
		int count = inRange(in.get(), StreamRecord.MAXIMUM_RUNS, "number of runs");
		List<RunOrigin> runs = new ArrayList<>(count);
		Set<Integer> numbers = new HashSet<>();
		for (int i = 0; i < count; i++) {
			RunOrigin run = readRun(in);
			if (!numbers.add(run.run())) {
				throw new IllegalArgumentException("run %d is repeated".formatted(run.run()));
			}
			runs.add(run);
		}
		return new StreamRecord(runs, isTruncated);
	}

	private static int inRange(int value, int maximum, String name) {
		if (value < 0 || value > maximum) {
			throw new IllegalArgumentException("%s must be 0 to %d, found %d".formatted(name, maximum, value));
		}
		return value;
	}

}
