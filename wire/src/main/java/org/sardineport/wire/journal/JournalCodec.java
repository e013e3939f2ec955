package org.sardineport.wire.journal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.journal.IdempotencyKey;
import org.sardineport.core.journal.JournalEntry;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.Outcome;
import org.sardineport.wire.message.JournalAccepted;
import org.sardineport.wire.message.JournalAnswerPart;
import org.sardineport.wire.message.JournalBatch;
import org.sardineport.wire.message.JournalDispatched;
import org.sardineport.wire.message.JournalFinished;
import org.sardineport.wire.message.JournalReleased;

/**
 * Converts batches of journal entries to log records and back. Decoding skips entries of
 * an unknown type and entries with invalid values.
 */
public final class JournalCodec {

	private static final Outcome[] OUTCOMES = Outcome.values();

	private JournalCodec() {
	}

	/**
	 * Encodes a batch of entries as one log record.
	 * @param entries the entries in order
	 * @return the bytes of the log record
	 */
	public static byte[] encode(List<JournalEntry> entries) {
		JournalBatch.Builder batch = JournalBatch.newBuilder();
		entries.forEach((entry) -> batch.addEntries(encode(entry)));
		return batch.build().toByteArray();
	}

	/**
	 * Decodes the entries of one log record. Entries of an unknown type and entries with
	 * invalid values are skipped.
	 * @param record the bytes of the log record
	 * @return the remaining entries in their encoded order, empty if none remains
	 * @throws InvalidProtocolBufferException if the bytes are not an encoded batch
	 */
	public static List<JournalEntry> decode(byte[] record) throws InvalidProtocolBufferException {
		JournalBatch batch = JournalBatch.parseFrom(record);
		List<JournalEntry> entries = new ArrayList<>(batch.getEntriesCount());
		for (org.sardineport.wire.message.JournalEntry message : batch.getEntriesList()) {
			try {
				decode(message, entries);
			}
			catch (IllegalArgumentException ex) {
				// Written by another version. The entry has no effect on any daemon.
				continue;
			}
		}
		return entries;
	}

	private static org.sardineport.wire.message.JournalEntry encode(JournalEntry entry) {
		org.sardineport.wire.message.JournalEntry.Builder message = org.sardineport.wire.message.JournalEntry
			.newBuilder()
			.setOrganisation(entry.organisation().value())
			.setKey(entry.key())
			.setToken(entry.token());
		if (entry instanceof JournalEntry.Accepted accepted) {
			message.setAccepted(encodeAccepted(accepted));
		}
		else if (entry instanceof JournalEntry.Dispatched dispatched) {
			message.setDispatched(JournalDispatched.newBuilder()
				.setBackendServer(dispatched.backendServer().value())
				.setStreamId(dispatched.streamId())
				.setAttempt(dispatched.attempt()));
		}
		else if (entry instanceof JournalEntry.Released) {
			message.setReleased(JournalReleased.getDefaultInstance());
		}
		else if (entry instanceof JournalEntry.ResponsePart part) {
			message.setAnswerPart(JournalAnswerPart.newBuilder().setIndex(part.index()).setPart(bytes(part.part())));
		}
		else if (entry instanceof JournalEntry.Finished finished) {
			message.setFinished(JournalFinished.newBuilder()
				.setOutcome(finished.outcome().ordinal())
				.setStatus(finished.status())
				.putAllHeaders(finished.headers())
				.setAnswerParts(finished.parts())
				.setLastPart(bytes(finished.lastPart())));
		}
		return message.build();
	}

	private static JournalAccepted encodeAccepted(JournalEntry.Accepted entry) {
		JournalAccepted.Builder message = JournalAccepted.newBuilder()
			.setFingerprintHigh(entry.fingerprint().high())
			.setFingerprintLow(entry.fingerprint().low())
			.setIssuedAtMillis(entry.issuedAt().toEpochMilli())
			.setDeadlineMillis(entry.deadline().toEpochMilli())
			.setDaemon(entry.holder().value())
			.setBoot(entry.boot())
			.setSupersedes(entry.supersedes());
		if (entry.request() != null) {
			message.setRequest(KeyedRequestCodec.encode(entry.request()));
		}
		return message.build();
	}

	private static void decode(org.sardineport.wire.message.JournalEntry message, List<JournalEntry> out) {
		OrganisationId organisation = OrganisationId.of(message.getOrganisation());
		String key = message.getKey();
		String token = message.getToken();
		switch (message.getBodyCase()) {
			case ACCEPTED -> out.add(decodeAccepted(organisation, key, token, message.getAccepted()));
			case DISPATCHED ->
				out.add(new JournalEntry.Dispatched(organisation, key, token, message.getDispatched().getAttempt(),
						BackendServerId.of(message.getDispatched().getBackendServer()),
						message.getDispatched().getStreamId()));
			case RELEASED -> out.add(new JournalEntry.Released(organisation, key, token));
			case ANSWER_PART -> out.add(new JournalEntry.ResponsePart(organisation, key, token,
					message.getAnswerPart().getIndex(), message.getAnswerPart().getPart().toByteArray()));
			case FINISHED -> out.add(decodeFinished(organisation, key, token, message.getFinished()));
			default -> {
			}
		}
	}

	private static JournalEntry decodeAccepted(OrganisationId organisation, String key, String token,
			JournalAccepted message) {
		Fingerprint fingerprint = Fingerprint.of(message.getFingerprintHigh(), message.getFingerprintLow());
		Instant issuedAt = Instant.ofEpochMilli(message.getIssuedAtMillis());
		Instant deadline = Instant.ofEpochMilli(message.getDeadlineMillis());
		IdempotencyKey idempotencyKey = new IdempotencyKey(organisation, key, issuedAt);
		return new JournalEntry.Accepted(organisation, idempotencyKey.value(), token, fingerprint, issuedAt, deadline,
				DaemonId.of(message.getDaemon()), message.getBoot(), message.getSupersedes(),
				(message.hasRequest()) ? KeyedRequestCodec.decode(organisation, key, issuedAt, deadline, fingerprint,
						message.getRequest()) : null);
	}

	private static JournalEntry decodeFinished(OrganisationId organisation, String key, String token,
			JournalFinished message) {
		if (message.getOutcome() >= OUTCOMES.length) {
			throw new IllegalArgumentException("unknown outcome ordinal %d".formatted(message.getOutcome()));
		}
		return new JournalEntry.Finished(organisation, key, token, OUTCOMES[message.getOutcome()], message.getStatus(),
				message.getHeadersMap(), message.getAnswerParts(), message.getLastPart().toByteArray());
	}

	private static ByteString bytes(byte[] bytes) {
		return UnsafeByteOperations.unsafeWrap(bytes);
	}

}
