package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import org.sardineport.core.relay.BodyProgress;

/**
 * Gathers the body of a caller's request within the memory for all callers. While there
 * is no room, nothing is read from the caller, for a limited time. Confined to the event
 * loop.
 */
final class RequestBody {

	/** Maximum time for which nothing is read for want of memory. */
	private static final Duration MAX_WAIT = Duration.ofSeconds(1);

	/** Interval between checks whether there is room. */
	private static final long POLL_MILLIS = 20;

	/**
	 * Growth of a body whose length is not known: its buffer doubles, and both buffers
	 * are held while it is copied.
	 */
	private static final long GROWTH = 3;

	private final RelayServices services;

	private final HttpServerRequest request;

	private final Runnable noRoom;

	private Buffer bytes = Buffer.buffer();

	private final BodyProgress progress;

	private long reserved;

	private boolean released;

	/** Whether nothing is read for want of memory. */
	private boolean waiting;

	/**
	 * Creates an empty body.
	 * @param services the memory, the clock and timers
	 * @param request the request, of which nothing has been read
	 * @param noRoom is called once if there is no room in time; the rest of the body must
	 * be dropped then
	 */
	RequestBody(RelayServices services, HttpServerRequest request, Runnable noRoom) {
		this.services = services;
		this.request = request;
		this.noRoom = noRoom;
		this.progress = BodyProgress.begin(services.progressLimit(), services.clock().millis());
	}

	/**
	 * Reads on as soon as there is room for the announced length.
	 * @param maxBytes maximum size of the body
	 */
	void start(int maxBytes) {
		String length = this.request.getHeader(HttpHeaders.CONTENT_LENGTH);
		long announced = (length != null) ? Math.min(Long.parseLong(length), maxBytes) : 0;
		if (announced == 0) {
			this.request.resume();
			return;
		}
		reserve(announced, () -> this.bytes = Buffer.buffer((int) announced));
	}

	void add(Buffer next) {
		this.bytes.appendBuffer(next);
		this.progress.received(this.services.clock().millis(), this.bytes.length());
		if (this.bytes.length() > this.reserved) {
			reserve(GROWTH * this.bytes.length(), () -> {
			});
		}
	}

	/**
	 * Returns whether the caller sends more slowly than the minimum rate.
	 * @return whether the body is not worth waiting for
	 */
	boolean isTooSlow() {
		return !this.waiting && this.progress.isTooSlow(this.services.clock().millis());
	}

	/**
	 * Returns the memory that is reserved.
	 * @return the memory in bytes
	 */
	long reserved() {
		return this.reserved;
	}

	/**
	 * Returns the time since the last byte, without that for which nothing was read.
	 * @return the time
	 */
	Duration stalledFor() {
		return this.waiting ? Duration.ZERO : this.progress.stalledFor(this.services.clock().millis());
	}

	int length() {
		return this.bytes.length();
	}

	Buffer bytes() {
		return this.bytes;
	}

	/**
	 * Releases the memory, as the request has ended.
	 */
	void release() {
		this.released = true;
		this.services.callerMemory().release(this.reserved);
		this.reserved = 0;
		this.bytes = Buffer.buffer();
	}

	private void reserve(long needed, Runnable whenReserved) {
		if (!tryReserve(needed, whenReserved)) {
			this.request.pause();
			this.waiting = true;
			poll(this.services.clock().instant().plus(MAX_WAIT), needed, whenReserved);
		}
	}

	private boolean tryReserve(long needed, Runnable whenReserved) {
		if (!this.services.callerMemory().tryReserve(this.reserved, needed)) {
			return false;
		}
		this.reserved = Math.max(this.reserved, needed);
		whenReserved.run();
		if (this.waiting) {
			this.waiting = false;
			this.progress.restart(this.services.clock().millis());
		}
		this.request.resume();
		return true;
	}

	private void poll(Instant latest, long needed, Runnable whenReserved) {
		this.services.vertx().setTimer(POLL_MILLIS, (id) -> {
			if (this.released || tryReserve(needed, whenReserved)) {
				return;
			}
			if (this.services.clock().instant().isBefore(latest)) {
				poll(latest, needed, whenReserved);
			}
			else {
				this.request.resume();
				this.noRoom.run();
			}
		});
	}

}
