package org.sardineport.daemon.exchange;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.journal.StoredAnswer;

/**
 * Keeps an answer for the journal as it passes, up to a limit.
 */
final class AnswerRecorder {

	private final int maximumBytes;

	private final Map<String, String> headers = new LinkedHashMap<>();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private int status;

	private boolean overflown;

	AnswerRecorder(int maximumBytes) {
		this.maximumBytes = maximumBytes;
		this.overflown = maximumBytes == 0;
	}

	void head(int answerStatus, List<Map.Entry<String, String>> fields) {
		this.status = answerStatus;
		fields.forEach((field) -> this.headers.merge(field.getKey().toLowerCase(Locale.ROOT), field.getValue(),
				(first, second) -> first + ", " + second));
	}

	void chunk(ByteBuffer bytes) {
		if (this.overflown) {
			return;
		}
		if (this.body.size() + bytes.remaining() > this.maximumBytes) {
			this.overflown = true;
			this.body.reset();
			return;
		}
		byte[] copy = new byte[bytes.remaining()];
		bytes.duplicate().get(copy);
		this.body.writeBytes(copy);
	}

	@Nullable StoredAnswer answer() {
		return (this.overflown) ? null : new StoredAnswer(this.status, this.headers, this.body.toByteArray());
	}

}
