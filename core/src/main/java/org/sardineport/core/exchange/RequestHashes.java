package org.sardineport.core.exchange;

import java.nio.charset.StandardCharsets;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.request.Fingerprint;

/**
 * Hashes that identify equal requests and shared prompt prefixes.
 */
public final class RequestHashes {

	/** Length in bytes of a prompt's first block. */
	public static final int PREFIX_BYTES = 256;

	private static final byte[] MESSAGES = "\"messages\"".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] PROMPT = "\"prompt\"".getBytes(StandardCharsets.US_ASCII);

	private RequestHashes() {
	}

	/**
	 * Returns the hash that identifies a request when it is sent again.
	 * @param organisation organisation that sent it
	 * @param method its HTTP method
	 * @param pathAndQuery its path with query
	 * @param body its body
	 * @return the fingerprint
	 */
	public static Fingerprint fingerprint(OrganisationId organisation, String method, String pathAndQuery,
			byte[] body) {
		HashStream128 stream = Hashing.xxh3_128().hashStream();
		stream.putString(organisation.value()).putString(method).putString(pathAndQuery).putByteArray(body);
		return fingerprint(stream);
	}

	/**
	 * Returns the hash that identifies a part of prompts among those of an organisation.
	 * @param organisation the organisation, as others may use the same identifier
	 * @param identifier the caller's identifier of the part
	 * @return the fingerprint
	 */
	public static Fingerprint promptPart(OrganisationId organisation, String identifier) {
		HashStream128 stream = Hashing.xxh3_128().hashStream();
		return fingerprint(stream.putString(organisation.value()).putString(identifier));
	}

	private static Fingerprint fingerprint(HashStream128 stream) {
		HashValue128 hash = stream.get();
		return Fingerprint.of(hash.getMostSignificantBits(), hash.getLeastSignificantBits());
	}

	/**
	 * Returns the hash of a prompt's first block, used for cache affinity.
	 * @param body body of the request in the format of the OpenAI API
	 * @return the hash, or 0 if the body has no prompt or the prompt is shorter than a
	 * block
	 */
	public static long prefix(byte[] body) {
		int start = Math.max(ByteSearch.indexOf(body, body.length, MESSAGES, 0),
				ByteSearch.indexOf(body, body.length, PROMPT, 0));
		if (start < 0 || body.length - start < PREFIX_BYTES) {
			return 0;
		}
		return Hashing.xxh3_64().hashBytesToLong(body, start, PREFIX_BYTES);
	}

}
