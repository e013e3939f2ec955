package org.sardineport.daemon.exchange;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.journal.StoredResponse;

/**
 * Records a response for the journal while it is relayed. A body larger than the limit is
 * discarded, and no response is recorded; a limit of 0 records nothing. Used on the run's
 * executor only.
 */
final class ResponseRecorder {

	private final int maxBytes;

	private final Map<String, String> headers = new LinkedHashMap<>();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private int status;

	private boolean overflowed;

	ResponseRecorder(int maxBytes) {
		this.maxBytes = maxBytes;
		this.overflowed = maxBytes == 0;
	}

	void head(int responseStatus, List<Map.Entry<String, String>> fields) {
		this.status = responseStatus;
		fields.forEach((field) -> this.headers.merge(field.getKey().toLowerCase(Locale.ROOT), field.getValue(),
				(first, second) -> first + ", " + second));
	}

	void chunk(ByteBuffer bytes) {
		if (this.overflowed) {
			return;
		}
		if (this.body.size() + bytes.remaining() > this.maxBytes) {
			this.overflowed = true;
			this.body.reset();
			return;
		}
		byte[] copy = new byte[bytes.remaining()];
		bytes.duplicate().get(copy);
		this.body.writeBytes(copy);
	}

	@Nullable StoredResponse response() {
		return (this.overflowed) ? null : new StoredResponse(this.status, this.headers, this.body.toByteArray());
	}

}
