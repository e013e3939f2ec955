package org.sardineport.daemon.http;

import java.time.Duration;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.sardineport.daemon.exchange.SerialExecutor;

/**
 * Runs tasks in order on one Vert.x context. Safe for use by any thread.
 */
public final class ContextExecutor implements SerialExecutor {

	private final Vertx vertx;

	private final Context context;

	private ContextExecutor(Vertx vertx, Context context) {
		this.vertx = vertx;
		this.context = context;
	}

	/**
	 * Returns an executor on a context of its own, for a caller that is not a Vert.x
	 * thread. On a Vert.x thread the current context is used.
	 * @param vertx the Vert.x instance that creates the context
	 * @return the executor
	 */
	public static ContextExecutor create(Vertx vertx) {
		return ofCurrent(vertx);
	}

	static ContextExecutor ofCurrent(Vertx vertx) {
		return new ContextExecutor(vertx, vertx.getOrCreateContext());
	}

	@Override
	public void execute(Runnable task) {
		this.context.runOnContext((ignored) -> task.run());
	}

	@Override
	public Runnable schedule(Duration delay, Runnable task) {
		long timer = this.vertx.setTimer(Math.max(1, delay.toMillis()), (id) -> execute(task));
		return () -> this.vertx.cancelTimer(timer);
	}

}
