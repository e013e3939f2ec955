package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Objects;
import java.util.function.LongFunction;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.routing.ServerState;

/**
 * Sends an owner's decisions on permit requests to their entries, each reply with the
 * state of the backend server at that time. All times are milliseconds of the same clock.
 * Not thread-safe.
 */
final class PermitReplies {

	private final BackendServerId server;

	private final MessageOutbox outbox;

	private final Duration permitLifetime;

	private final LongFunction<ServerState> state;

	/**
	 * Creates the replies of an owner.
	 * @param server the backend server
	 * @param outbox receives the messages
	 * @param permitLifetime time within which a permit must be used
	 * @param state returns the state of the backend server at the given current time
	 */
	PermitReplies(BackendServerId server, MessageOutbox outbox, Duration permitLifetime,
			LongFunction<ServerState> state) {
		this.server = Objects.requireNonNull(server, "server must not be null");
		this.outbox = Objects.requireNonNull(outbox, "outbox must not be null");
		this.permitLifetime = Objects.requireNonNull(permitLifetime, "permitLifetime must not be null");
		this.state = Objects.requireNonNull(state, "state must not be null");
	}

	void sendGrant(OutstandingPermit permit, long now) {
		this.outbox.send(permit.entry(), new PermitGrant(permit.permitRequest().request(), this.server,
				this.permitLifetime, this.state.apply(now)));
	}

	void sendQueued(WaitingRequest waiting, long expectedWaitMillis, long now) {
		this.outbox.send(waiting.entry(), new PermitQueued(waiting.permitRequest().request(), this.server,
				Duration.ofMillis(expectedWaitMillis), this.state.apply(now)));
	}

	void sendRefusal(WaitingRequest waiting, PermitDenial denial, long retryAfterMillis, long now) {
		this.outbox.send(waiting.entry(), new PermitRefusal(waiting.permitRequest().request(), this.server, denial,
				Duration.ofMillis(retryAfterMillis), this.state.apply(now)));
	}

	void sendPreemption(OutstandingPermit permit) {
		this.outbox.send(permit.entry(), new PermitPreemption(permit.permitRequest().request(), this.server));
	}

}
