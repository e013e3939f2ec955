package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

import org.sardineport.core.request.Refusal;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Discards the response of a run that no caller waits for. The journal stores the
 * response; this sink only counts refusals.
 */
final class DetachedSink implements ResponseSink {

	private final Telemetry telemetry;

	DetachedSink(Telemetry telemetry) {
		this.telemetry = telemetry;
	}

	@Override
	public void head(int status, List<Map.Entry<String, String>> headers) {
		// no caller waits for it
	}

	@Override
	public boolean chunk(ByteBuffer bytes) {
		return true;
	}

	@Override
	public void whenDrained(Runnable action) {
		// chunk() always accepts more
	}

	@Override
	public void end() {
		// no caller waits for it
	}

	@Override
	public void refuse(Refusal refusal) {
		this.telemetry.refused(refusal.reason()).inc();
	}

}
