package org.sardineport.wire.configuration;

import java.io.IOException;
import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.sardineport.core.configuration.ConfigurationRecord;
import org.sardineport.core.configuration.ImagePage;
import org.sardineport.core.configuration.ProfileDocument;
import org.sardineport.core.configuration.Publication;
import org.sardineport.core.configuration.UnreadableRecord;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.wire.message.ProfileText;

/**
 * Codec of the records of the configuration stream. Decoding is deterministic: the same
 * bytes yield the same record on every daemon. Thread-safe.
 */
public final class ConfigurationRecordCodec {

	/** Maximum size of an inflated publication, in bytes. */
	private static final int MAX_PUBLICATION_BYTES = 16 * 1024 * 1024;

	private ConfigurationRecordCodec() {
	}

	/**
	 * Creates a codec.
	 * @return the codec, which has no state
	 */
	public static ConfigurationRecordCodec create() {
		return new ConfigurationRecordCodec();
	}

	/**
	 * Encodes a publication.
	 * @param publication the publication
	 * @return the bytes of its record
	 */
	public byte[] encode(Publication publication) {
		org.sardineport.wire.message.Publication.Builder body = org.sardineport.wire.message.Publication.newBuilder()
			.setToken(publication.token())
			.setBaseVersion(publication.baseVersion())
			.setOperator(publication.operator());
		for (ProfileDocument document : publication.profiles()) {
			body.addProfiles(
					ProfileText.newBuilder().setName(document.name().value()).setYaml(document.text()).build());
		}
		publication.retired().forEach((name) -> body.addRetired(name.value()));
		return org.sardineport.wire.message.ConfigurationRecord.newBuilder()
			.setDeflatedPublication(UnsafeByteOperations.unsafeWrap(Compression.deflate(body.build().toByteArray())))
			.build()
			.toByteArray();
	}

	/**
	 * Encodes a page of a snapshot.
	 * @param page the page
	 * @return the bytes of its record
	 */
	public byte[] encode(ImagePage page) {
		return org.sardineport.wire.message.ConfigurationRecord.newBuilder()
			.setSnapshot(PageCodec.encode(page))
			.build()
			.toByteArray();
	}

	/**
	 * Decodes a record.
	 * @param value bytes of the record
	 * @return the record, or an {@link UnreadableRecord} if the bytes can't be decoded
	 */
	public ConfigurationRecord decode(byte[] value) {
		try {
			org.sardineport.wire.message.ConfigurationRecord body = org.sardineport.wire.message.ConfigurationRecord
				.parseFrom(value);
			return switch (body.getBodyCase()) {
				case DEFLATED_PUBLICATION -> publication(inflate(body.getDeflatedPublication()));
				case SNAPSHOT -> PageCodec.decode(body.getSnapshot());
				case BODY_NOT_SET -> new UnreadableRecord("record of no known kind");
			};
		}
		catch (IOException | IllegalArgumentException ex) {
			return new UnreadableRecord("record that cannot be decoded");
		}
	}

	private static org.sardineport.wire.message.Publication inflate(ByteString deflated) throws IOException {
		return org.sardineport.wire.message.Publication
			.parseFrom(Compression.inflate(deflated.toByteArray(), MAX_PUBLICATION_BYTES));
	}

	private static Publication publication(org.sardineport.wire.message.Publication body) {
		List<ProfileDocument> profiles = body.getProfilesList()
			.stream()
			.map((text) -> new ProfileDocument(ProfileName.of(text.getName()), text.getYaml()))
			.toList();
		List<ProfileName> retired = body.getRetiredList().stream().map(ProfileName::of).toList();
		return new Publication(body.getToken(), body.getBaseVersion(), profiles, retired, body.getOperator());
	}

}
