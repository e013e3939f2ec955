package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.exchange.ResponseEnd;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * What the other connections to a process show after one has ended. The end of a process
 * closes all of them within a window. Times are in milliseconds of the connections'
 * clock. Confined to the event loop.
 */
final class ProcessWatch {

	private static final EventLog LOG = EventLog.of(ProcessWatch.class);

	private final BackendProcess process;

	private final List<BackendConnection> others;

	private final long since;

	private final long window;

	/** Time of the latest look at the connections. */
	private long lookedAt;

	/**
	 * Creates a watch that begins.
	 * @param process the process
	 * @param others its other connections
	 * @param since the current time
	 * @param window maximum time within which the end of the process closes them
	 */
	ProcessWatch(BackendProcess process, List<BackendConnection> others, long since, Duration window) {
		this.process = process;
		this.others = others;
		this.since = since;
		this.lookedAt = since;
		this.window = window.toMillis();
	}

	/**
	 * Looks at the connections again, in a later turn of the event loop than before.
	 * After twice the window the process counts as ended if all connections that are open
	 * still deliver data, which may have been sent before its end.
	 * @param now the current time
	 * @return how the response on the connection that has ended did so, or {@code null}
	 * if that is not known yet
	 */
	@Nullable ResponseEnd look(long now) {
		ResponseEnd end = end(now);
		if (end == null) {
			this.lookedAt = now;
		}
		return end;
	}

	private @Nullable ResponseEnd end(long now) {
		if (this.others.stream().anyMatch((each) -> each.hasAnsweredSince(this.since))) {
			return ResponseEnd.CLOSED_BY_LIVE_PROCESS;
		}
		List<BackendConnection> watched = watched();
		long watchedFor = now - this.since;
		if (watchedFor >= this.window && watched.stream().anyMatch(this::isQuiet)) {
			return ResponseEnd.CLOSED_BY_LIVE_PROCESS;
		}
		return (watched.isEmpty() || watchedFor >= 2 * this.window) ? ResponseEnd.CLOSED : null;
	}

	// Other responses that end with their connections may end at the same time, so that
	// a closed connection alone is no sign of a crash.
	private List<BackendConnection> watched() {
		return this.others.stream().filter((each) -> each.isWatchedSince(this.since)).toList();
	}

	// The event loop has read what had come since the latest look. A time would prove
	// nothing, as the event loop may have been delayed meanwhile.
	private boolean isQuiet(BackendConnection connection) {
		return !connection.hasDataSince(this.lookedAt);
	}

	/**
	 * Logs what was seen.
	 * @param end how the response ended
	 * @param now the current time
	 */
	void log(ResponseEnd end, long now) {
		long closed = this.others.stream().filter(BackendConnection::isClosedByServer).count();
		boolean answered = this.others.stream().anyMatch((each) -> each.hasAnsweredSince(this.since));
		List<BackendConnection> watched = watched();
		long quiet = watched.stream().filter(this::isQuiet).count();
		LOG.info("response.ended-by-close", "backend-server", this.process.server(), "end", end.label(), "connections",
				this.others.size(), "closed", closed, "watched", watched.size(), "quiet", quiet, "answered", answered,
				"decided-after-ms", now - this.since);
	}

}
