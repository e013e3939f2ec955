package org.sardineport.daemon.http;

import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicLong;

import org.sardineport.core.identity.RequestId;

/**
 * Generates request ids that are unique in the fleet. An id consists of a random 96-bit
 * prefix, drawn once per process, and a sequence number. Safe for use by any thread.
 */
final class RequestIds {

	private final String prefix;

	private final AtomicLong next = new AtomicLong(1);

	private RequestIds(String prefix) {
		this.prefix = prefix;
	}

	static RequestIds create() {
		SecureRandom random = new SecureRandom();
		return new RequestIds("%016x%08x-".formatted(random.nextLong(), random.nextInt()));
	}

	RequestId next() {
		return RequestId.of(this.prefix + this.next.getAndIncrement());
	}

}
