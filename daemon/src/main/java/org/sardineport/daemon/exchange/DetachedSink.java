package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

import org.sardineport.core.request.Refusal;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Takes the answer of a run that no caller listens to; the journal keeps it.
 */
final class DetachedSink implements AnswerSink {

	private final Telemetry telemetry;

	DetachedSink(Telemetry telemetry) {
		this.telemetry = telemetry;
	}

	@Override
	public void head(int status, List<Map.Entry<String, String>> headers) {
		// nobody reads it
	}

	@Override
	public boolean chunk(ByteBuffer bytes) {
		return true;
	}

	@Override
	public void whenDrained(Runnable action) {
		// never behind
	}

	@Override
	public void end() {
		// nobody reads it
	}

	@Override
	public void refuse(Refusal refusal) {
		this.telemetry.refused(refusal.reason()).inc();
	}

}
