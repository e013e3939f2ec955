package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.sardineport.core.request.Refusal;

/**
 * Records refusals and discards responses.
 */
final class RecordingSink implements ResponseSink {

	private final List<Refusal> refusals = new ArrayList<>();

	List<Refusal> refusals() {
		return this.refusals;
	}

	@Override
	public void head(int status, List<Map.Entry<String, String>> headers) {
	}

	@Override
	public boolean chunk(ByteBuffer bytes) {
		return true;
	}

	@Override
	public void whenDrained(Runnable action) {
	}

	@Override
	public void end() {
	}

	@Override
	public void refuse(Refusal refusal) {
		this.refusals.add(refusal);
	}

}
