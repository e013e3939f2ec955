package org.sardineport.core.stream;

import java.util.Objects;

/**
 * What a lookup in the memory of the daemons has found.
 *
 * @param record what the daemons that replied know together
 * @param isProved whether enough of them replied to rely on it
 * @param isFromMajority whether more than half of the daemons asked replied
 */
public record OriginEvidence(StreamRecord record, boolean isProved, boolean isFromMajority) {

	/** Evidence if nothing was found. */
	public static final OriginEvidence NONE = new OriginEvidence(StreamRecord.EMPTY, false, false);

	/**
	 * Creates the evidence.
	 */
	public OriginEvidence {
		Objects.requireNonNull(record, "record must not be null");
	}

	/**
	 * Returns what the daemons' memory alone proves.
	 * @return the version if it is proved; {@link StreamOrigin#AMBIGUOUS} if several are
	 * possible, proved or not
	 */
	public StreamOrigin origin() {
		StreamOrigin origin = this.record.origin();
		return (this.isProved || origin == StreamOrigin.AMBIGUOUS) ? origin : StreamOrigin.UNKNOWN;
	}

	/**
	 * Returns what is proved together with what the platform stores of the key.
	 * @param stored the stored record
	 * @return the version if one of the runs is known to have begun there and no other
	 * run contradicts it
	 */
	public StreamOrigin originWith(StreamRecord stored) {
		StreamRecord merged = this.record.merge(stored);
		StreamOrigin origin = merged.origin();
		return (merged.hasBegun() || origin == StreamOrigin.AMBIGUOUS) ? origin : StreamOrigin.UNKNOWN;
	}

	/**
	 * Returns what is proved if a pool is known to have run a single version for as long
	 * as the stream may have lasted.
	 * @param sole that version
	 * @return the version, unless the daemons remember another one
	 */
	public StreamOrigin originWith(StreamOrigin sole) {
		boolean agrees = this.record.runs().isEmpty() || this.record.origin().equals(sole);
		return agrees ? sole : StreamOrigin.UNKNOWN;
	}

}
