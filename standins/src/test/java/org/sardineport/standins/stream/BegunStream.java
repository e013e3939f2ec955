package org.sardineport.standins.stream;

import java.time.Duration;

import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.stream.OriginRegistry;
import org.sardineport.core.stream.StreamRun;

/**
 * A stream of which the caller has received an event, or will if it is confirmed.
 */
final class BegunStream {

	static final Duration KEEP = Duration.ofSeconds(60);

	private final StreamRun run;

	private final SoftwareVersion first;

	private final SoftwareVersion version;

	private boolean hasBegun;

	BegunStream(StreamRun run, SoftwareVersion first, SoftwareVersion version) {
		this.run = run;
		this.first = first;
		this.version = version;
	}

	void dispatch(OriginRegistry server) {
		server.dispatched(this.run, this.first, KEEP, (confirmed) -> this.hasBegun = confirmed && !isRetried());
	}

	void retry(OriginRegistry server) {
		if (isRetried()) {
			server.dispatched(this.run, this.version, KEEP, (confirmed) -> {
			});
		}
	}

	void begin(OriginRegistry server) {
		if (isRetried()) {
			server.begun(this.run, this.version, KEEP, (confirmed) -> this.hasBegun = confirmed);
		}
	}

	private boolean isRetried() {
		return !this.first.equals(this.version);
	}

	boolean hasBegun() {
		return this.hasBegun;
	}

	StreamRun run() {
		return this.run;
	}

	SoftwareVersion version() {
		return this.version;
	}

}
