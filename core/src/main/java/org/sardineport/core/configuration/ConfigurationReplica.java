package org.sardineport.core.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.core.port.log.LogService;

/**
 * Replays the configuration stream. Its version never decreases. If the stream no longer
 * retains the next record, the replica waits for an image from the stream or from another
 * daemon that closes the gap, and holds back the records after the gap until then. Not
 * safe for use by several threads.
 */
public final class ConfigurationReplica {

	/** Maximum number of records held back while an image is missing. */
	static final int MAX_HELD_BACK = 10_000;

	/** Maximum number of characters of texts held back while an image is missing. */
	static final long MAX_HELD_BACK_CHARACTERS = 16L * 1024 * 1024;

	private static final long UNKNOWN_OFFSET = Long.MAX_VALUE;

	private final ProfileParser parser;

	private final PublicationRules rules;

	private final ImageAssembly snapshots;

	private final Deque<HeldBackRecord> heldBack = new ArrayDeque<>();

	private ConfigurationState state = ConfigurationState.EMPTY;

	private long asOf = ConfigurationSnapshot.NO_VERSION;

	private long heldBackCharacters;

	private boolean gap;

	/** First offset after the gap that the stream still retains. */
	private long firstRetained = UNKNOWN_OFFSET;

	private long nextOffset;

	private ConfigurationReplica(ProfileParser parser, ImageCodec codec) {
		this.parser = Objects.requireNonNull(parser, "parser must not be null");
		this.rules = PublicationRules.of(parser);
		this.snapshots = ImageAssembly.create(codec);
	}

	/**
	 * Returns a replica in the empty state that reads the stream from its first offset.
	 * @param parser parses the texts of profiles
	 * @param codec decodes snapshots
	 * @return the replica
	 */
	public static ConfigurationReplica create(ProfileParser parser, ImageCodec codec) {
		return new ConfigurationReplica(parser, codec);
	}

	/**
	 * Returns the state in force.
	 * @return the state
	 */
	public ConfigurationState state() {
		return this.state;
	}

	/**
	 * Returns the last offset whose record is contained in the state.
	 * @return the offset, or {@link ConfigurationSnapshot#NO_VERSION}
	 */
	public long asOf() {
		return this.asOf;
	}

	/**
	 * Returns the offset to continue reading at.
	 * @return the offset, or {@link LogService#EARLIEST}
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns whether records are missing that the stream may no longer retain.
	 * @return whether the replica waits for an image
	 */
	public boolean hasGap() {
		return this.gap;
	}

	/**
	 * Records that the stream no longer retains the next offset. Reading continues at the
	 * earliest record.
	 */
	public void expired() {
		beginAt(LogService.EARLIEST);
		this.firstRetained = UNKNOWN_OFFSET;
	}

	/**
	 * Continues reading at an offset. A gap is assumed before it until the state is known
	 * to contain all earlier records.
	 * @param offset the offset
	 */
	public void beginAt(long offset) {
		this.gap = true;
		this.firstRetained = offset;
		this.heldBack.clear();
		this.heldBackCharacters = 0;
		this.nextOffset = offset;
	}

	/**
	 * Records that all records before an offset have been read.
	 * @param offset offset at which the log service says to continue
	 * @return verdicts on records that were held back
	 */
	public List<Verdict> readUpTo(long offset) {
		if (this.gap) {
			this.firstRetained = Math.min(this.firstRetained, offset);
			this.nextOffset = Math.max(this.nextOffset, offset);
			return closeGapIfContiguous();
		}
		this.asOf = Math.max(this.asOf, offset - 1);
		this.nextOffset = Math.max(this.nextOffset, this.asOf + 1);
		return List.of();
	}

	/**
	 * Applies the next record. A record that the state contains already has no effect.
	 * @param offset offset of the record
	 * @param record the record
	 * @return resulting verdicts; empty for a snapshot, for a record that is contained
	 * already, and for one that is held back
	 */
	public List<Verdict> apply(long offset, ConfigurationRecord record) {
		if (offset < this.nextOffset || (!this.gap && offset <= this.asOf)) {
			return List.of();
		}
		this.nextOffset = offset + 1;
		if (this.gap) {
			this.firstRetained = Math.min(this.firstRetained, offset);
			return applyAfterGap(offset, record);
		}
		List<Verdict> verdicts = new ArrayList<>();
		applyInOrder(offset, record, verdicts);
		return verdicts;
	}

	private List<Verdict> applyAfterGap(long offset, ConfigurationRecord record) {
		if (record instanceof ImagePage page) {
			Optional<ConfigurationImage> image = this.snapshots.add(page);
			return image.isPresent() ? adopt(image.get()).verdicts() : closeGapIfContiguous();
		}
		holdBack(new HeldBackRecord(offset, record));
		return closeGapIfContiguous();
	}

	private void holdBack(HeldBackRecord held) {
		this.heldBack.add(held);
		this.heldBackCharacters += held.characters();
		while (this.heldBack.size() > MAX_HELD_BACK || this.heldBackCharacters > MAX_HELD_BACK_CHARACTERS) {
			HeldBackRecord dropped = this.heldBack.removeFirst();
			this.heldBackCharacters -= dropped.characters();
			this.firstRetained = dropped.offset() + 1;
		}
	}

	private void applyInOrder(long offset, ConfigurationRecord record, List<Verdict> verdicts) {
		this.asOf = offset;
		if (record instanceof Publication publication) {
			PublicationRules.Decision decision = this.rules.evaluate(this.state, offset, publication);
			this.state = decision.next();
			verdicts.add(decision.verdict());
		}
		else if (record instanceof ImagePage page) {
			this.snapshots.add(page).ifPresent(this::adopt);
		}
		else if (record instanceof UnreadableRecord unreadable) {
			verdicts.add(Verdict.unreadable(offset, unreadable));
		}
	}

	/**
	 * Adopts an image from another daemon or from the stream, unless it is older than the
	 * state or relative to a newer version.
	 * @param image the image
	 * @return whether it was adopted, and what followed from it
	 */
	public Adoption adopt(ConfigurationImage image) {
		if (image.version() < this.state.version() || image.newerThan() > this.state.version()) {
			return Adoption.none();
		}
		if (image.version() > this.state.version()) {
			try {
				this.state = this.state.merged(image, this.parser);
			}
			catch (InvalidDocumentException ex) {
				return Adoption.faulty(ex.getMessage());
			}
		}
		this.asOf = Math.max(this.asOf, image.asOf());
		if (this.gap) {
			return new Adoption(true, closeGapIfContiguous(), "");
		}
		this.nextOffset = Math.max(this.nextOffset, this.asOf + 1);
		return new Adoption(true, List.of(), "");
	}

	/**
	 * Records that a daemon with a given version has read all records up to an offset.
	 * Has an effect only while there is a gap and the versions are equal.
	 * @param version version in force there
	 * @param offset the offset
	 * @return verdicts on records that were held back
	 */
	public List<Verdict> confirmed(long version, long offset) {
		if (!this.gap || version != this.state.version()) {
			return List.of();
		}
		this.asOf = Math.max(this.asOf, offset);
		return closeGapIfContiguous();
	}

	private List<Verdict> closeGapIfContiguous() {
		boolean contiguous = this.firstRetained != UNKNOWN_OFFSET && this.asOf >= this.firstRetained - 1;
		if (!contiguous) {
			return List.of();
		}
		this.gap = false;
		List<Verdict> verdicts = new ArrayList<>();
		for (HeldBackRecord held : this.heldBack) {
			if (held.offset() > this.asOf) {
				applyInOrder(held.offset(), held.record(), verdicts);
			}
		}
		this.heldBack.clear();
		this.heldBackCharacters = 0;
		this.asOf = Math.max(this.asOf, this.nextOffset - 1);
		this.nextOffset = this.asOf + 1;
		return verdicts;
	}

	private record HeldBackRecord(long offset, ConfigurationRecord record) {

		private long characters() {
			return (this.record instanceof Publication publication) ? publication.characters() : 0;
		}

	}

	/**
	 * Result of offering an image to the replica.
	 *
	 * @param adopted whether it was adopted
	 * @param verdicts verdicts on records that were held back
	 * @param fault why a newer image could not be adopted; empty if there was no fault
	 */
	public record Adoption(boolean adopted, List<Verdict> verdicts, String fault) {

		private static Adoption none() {
			return new Adoption(false, List.of(), "");
		}

		private static Adoption faulty(String fault) {
			return new Adoption(false, List.of(), fault);
		}

	}

}
