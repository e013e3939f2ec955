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
 * Replays the configuration stream. Its version never decreases. When the stream no
 * longer keeps the next record, it waits for an image, from the stream or from another
 * daemon, that closes the gap, and holds back the records after the gap until then. Not
 * safe for use by several threads.
 */
public final class ConfigurationReplica {

	/** Most publications that are held back while an image is missing. */
	static final int MAXIMUM_HELD_BACK = 10_000;

	/** Most characters of texts that are held back while an image is missing. */
	static final long MAXIMUM_HELD_BACK_CHARACTERS = 16L * 1024 * 1024;

	private static final long UNKNOWN_OFFSET = Long.MAX_VALUE;

	private final ProfileParser parser;

	private final PublicationRules rules;

	private final ImageAssembly snapshots;

	private final Deque<HeldBack> heldBack = new ArrayDeque<>();

	private ConfigurationState state = ConfigurationState.EMPTY;

	private long asOf = ConfigurationSnapshot.NO_VERSION;

	private long heldBackCharacters;

	private boolean gap;

	/** First offset after the gap that the stream still keeps. */
	private long firstKept = UNKNOWN_OFFSET;

	private long nextOffset;

	private ConfigurationReplica(ProfileParser parser, ImageCodec codec) {
		this.parser = Objects.requireNonNull(parser, "parser must not be null");
		this.rules = PublicationRules.of(parser);
		this.snapshots = ImageAssembly.create(codec);
	}

	/**
	 * Returns a replica that knows nothing yet and reads the stream from its first
	 * offset.
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
	 * Returns the last offset that the state contains.
	 * @return the offset, or {@link ConfigurationSnapshot#NO_VERSION}
	 */
	public long asOf() {
		return this.asOf;
	}

	/**
	 * Returns where to read on.
	 * @return the offset, or {@link LogService#EARLIEST}
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns whether records are missing that the stream does not keep any more.
	 * @return whether the replica waits for an image
	 */
	public boolean hasGap() {
		return this.gap;
	}

	/**
	 * Tells that the stream does not keep the next offset any more. Reading goes on from
	 * the earliest record.
	 */
	public void expired() {
		beginAt(LogService.EARLIEST);
		this.firstKept = UNKNOWN_OFFSET;
	}

	/**
	 * Reads on from an offset, with a gap before it unless all before it is contained.
	 * @param offset the offset
	 */
	public void beginAt(long offset) {
		this.gap = true;
		this.firstKept = offset;
		this.heldBack.clear();
		this.heldBackCharacters = 0;
		this.nextOffset = offset;
	}

	/**
	 * Tells that all records before an offset were read.
	 * @param offset where the service says to read on
	 * @return verdicts on records that had been held back
	 */
	public List<Verdict> readUpTo(long offset) {
		if (this.gap) {
			this.firstKept = Math.min(this.firstKept, offset);
			this.nextOffset = Math.max(this.nextOffset, offset);
			return closeGap();
		}
		this.asOf = Math.max(this.asOf, offset - 1);
		this.nextOffset = Math.max(this.nextOffset, this.asOf + 1);
		return List.of();
	}

	/**
	 * Applies the next record. Records that are contained already have no effect.
	 * @param offset offset of the record
	 * @param record the record
	 * @return verdicts that follow; empty for a snapshot, for a record that is contained,
	 * and for one that is held back
	 */
	public List<Verdict> apply(long offset, ConfigurationRecord record) {
		if (offset < this.nextOffset || (!this.gap && offset <= this.asOf)) {
			return List.of();
		}
		this.nextOffset = offset + 1;
		if (this.gap) {
			this.firstKept = Math.min(this.firstKept, offset);
			return applyAfterGap(offset, record);
		}
		List<Verdict> verdicts = new ArrayList<>();
		applyInOrder(offset, record, verdicts);
		return verdicts;
	}

	private List<Verdict> applyAfterGap(long offset, ConfigurationRecord record) {
		if (record instanceof ImagePage page) {
			Optional<ConfigurationImage> image = this.snapshots.add(page);
			return image.isPresent() ? adopt(image.get()).verdicts() : closeGap();
		}
		holdBack(new HeldBack(offset, record));
		return closeGap();
	}

	private void holdBack(HeldBack held) {
		this.heldBack.add(held);
		this.heldBackCharacters += held.characters();
		while (this.heldBack.size() > MAXIMUM_HELD_BACK || this.heldBackCharacters > MAXIMUM_HELD_BACK_CHARACTERS) {
			HeldBack dropped = this.heldBack.removeFirst();
			this.heldBackCharacters -= dropped.characters();
			this.firstKept = dropped.offset() + 1;
		}
	}

	private void applyInOrder(long offset, ConfigurationRecord record, List<Verdict> verdicts) {
		this.asOf = offset;
		if (record instanceof Publication publication) {
			PublicationRules.Decision decision = this.rules.judge(this.state, offset, publication);
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
	 * Takes an image of another daemon or of the stream, if it is newer or closes a gap.
	 * @param image the image
	 * @return what became of it
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
			return new Adoption(true, closeGap(), "");
		}
		this.nextOffset = Math.max(this.nextOffset, this.asOf + 1);
		return new Adoption(true, List.of(), "");
	}

	/**
	 * Tells that a daemon with the same version has seen all records up to an offset.
	 * @param version version in force there
	 * @param offset the offset
	 * @return verdicts on records that had been held back
	 */
	public List<Verdict> confirmed(long version, long offset) {
		if (!this.gap || version != this.state.version()) {
			return List.of();
		}
		this.asOf = Math.max(this.asOf, offset);
		return closeGap();
	}

	private List<Verdict> closeGap() {
		boolean reaches = this.firstKept != UNKNOWN_OFFSET && this.asOf >= this.firstKept - 1;
		if (!reaches) {
			return List.of();
		}
		this.gap = false;
		List<Verdict> verdicts = new ArrayList<>();
		for (HeldBack held : this.heldBack) {
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

	private record HeldBack(long offset, ConfigurationRecord record) {

		private long characters() {
			return (this.record instanceof Publication publication) ? publication.characters() : 0;
		}

	}

	/**
	 * What became of an image.
	 *
	 * @param taken whether it was taken
	 * @param verdicts verdicts on records that had been held back
	 * @param fault why a newer image could not be taken, empty if there was no fault
	 */
	public record Adoption(boolean taken, List<Verdict> verdicts, String fault) {

		private static Adoption none() {
			return new Adoption(false, List.of(), "");
		}

		private static Adoption faulty(String fault) {
			return new Adoption(false, List.of(), fault);
		}

	}

}
