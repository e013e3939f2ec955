package org.sardineport.daemon.relay;

import java.time.InstantSource;
import java.util.Objects;

import io.netty.channel.EventLoop;
import io.netty.channel.SingleThreadEventLoop;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import org.sardineport.core.overload.ReadPasses;

/**
 * Defers actions until the event loop has read what had arrived on its connections, so
 * that nothing is sent for a caller whose close lies unread in the socket. Netty reads
 * all sockets before it runs tasks. Confined to the event loop.
 */
final class LoopPasses {

	/**
	 * Maximum number of passes for which an action is deferred. A turn may always take
	 * longer than the age at which a pass counts as recent.
	 */
	private static final int MAX_DEFERRALS = 3;

	/** The earliest due time of a timer that does not run in the current turn. */
	private static final long NEXT_TURN_MILLIS = 1;

	private final Vertx vertx;

	private final ReadPasses passes;

	private boolean turnObserved;

	private LoopPasses(Vertx vertx, ReadPasses passes) {
		this.vertx = Objects.requireNonNull(vertx, "vertx must not be null");
		this.passes = passes;
	}

	/**
	 * Returns the passes of the event loop on which the methods are called.
	 * @param vertx runs timers
	 * @param clock a steady clock
	 * @return the passes
	 */
	static LoopPasses create(Vertx vertx, InstantSource clock) {
		return new LoopPasses(vertx, ReadPasses.create(clock));
	}

	/**
	 * Observes the end of the current turn. Called whenever a request is read, so that
	 * the time of the latest pass is known when it is sent on.
	 * @return the number of the current turn
	 */
	long observe() {
		EventLoop loop = (this.vertx.getOrCreateContext() instanceof ContextInternal context) ? context.nettyEventLoop()
				: null;
		if (!this.turnObserved && loop instanceof SingleThreadEventLoop observable) {
			this.turnObserved = true;
			observable.executeAfterEventLoopIteration(this::turnEnded);
		}
		return this.passes.turn();
	}

	private void turnEnded() {
		this.turnObserved = false;
		this.passes.turnEnded();
	}

	/**
	 * Runs an action at once if the latest pass is recent, else after further passes.
	 * @param readInTurn the turn in which the request was read; the pass is a later one
	 * @param action the action
	 */
	void afterRecentPass(long readInTurn, Runnable action) {
		afterRecentPass(readInTurn, action, MAX_DEFERRALS);
	}

	private void afterRecentPass(long readInTurn, Runnable action, int deferrals) {
		observe();
		if (deferrals == 0 || this.passes.isRecent(readInTurn)) {
			action.run();
		}
		else {
			this.vertx.setTimer(NEXT_TURN_MILLIS, (id) -> afterRecentPass(readInTurn, action, deferrals - 1));
		}
	}

}
