package org.sardineport.daemon.exchange;

import java.util.Objects;
import java.util.concurrent.Semaphore;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.port.backend.AnswerListener;
import org.sardineport.core.port.backend.Exchange;
import org.sardineport.core.port.backend.ModelEngine;

/**
 * Moves the stream of a preempted run by its KV cache: exports it, keeps it while the run
 * waits for another permit, imports it and goes on after the last byte received. The
 * engine continues the same stream, so this is no second dispatch. Touched on the run's
 * executor only.
 */
final class StreamMove {

	/** Moves of one run, after which it is not moved again. */
	private static final int MAXIMUM_MOVES = 8;

	private final ModelEngine engines;

	private final Semaphore places;

	private final String streamId;

	private final SerialExecutor executor;

	private Phase phase = Phase.NONE;

	private byte @Nullable [] cache;

	private int moves;

	private long receivedBytes;

	StreamMove(RunServices services, String streamId, SerialExecutor executor) {
		this.engines = services.engines();
		this.places = services.suspendedStreams();
		this.streamId = streamId;
		this.executor = executor;
	}

	/**
	 * Counts bytes of the answer's body, after which the stream goes on when it is moved.
	 * @param bytes number of bytes received
	 */
	void received(int bytes) {
		this.receivedBytes += bytes;
	}

	boolean isExporting() {
		return this.phase == Phase.EXPORTING;
	}

	/**
	 * Returns whether the run waits for another permit to go on with.
	 * @return whether the cache is held here
	 */
	boolean isSuspended() {
		return this.phase == Phase.SUSPENDED;
	}

	boolean hasMoved() {
		return this.moves > 0;
	}

	/**
	 * Exports the stream, if it can be tried.
	 * @param server the backend server that runs it
	 * @param whenSuspended called when the cache is held here
	 * @param whenImpossible called when the engine did not export it
	 * @return whether it is tried
	 */
	boolean tryExport(BackendServer server, Runnable whenSuspended, Runnable whenImpossible) {
		if (this.phase != Phase.NONE || server.kind() != BackendKind.MODEL_ENGINE || this.moves >= MAXIMUM_MOVES
				|| !this.places.tryAcquire()) {
			return false;
		}
		this.phase = Phase.EXPORTING;
		this.engines.exportCache(server, this.streamId)
			.whenComplete((exported, failure) -> this.executor
				.execute(() -> onExported(exported, whenSuspended, whenImpossible)));
		return true;
	}

	private void onExported(byte @Nullable [] exported, Runnable whenSuspended, Runnable whenImpossible) {
		if (this.phase != Phase.EXPORTING) {
			return;
		}
		if (exported == null) {
			close();
			whenImpossible.run();
			return;
		}
		this.cache = exported;
		this.moves++;
		this.phase = Phase.SUSPENDED;
		whenSuspended.run();
	}

	/**
	 * Imports the stream.
	 * @param server where it goes on
	 * @param whenImported called when the backend server holds the stream
	 * @param whenImpossible called when it did not take it; the run is suspended still
	 */
	void importTo(BackendServer server, Runnable whenImported, Runnable whenImpossible) {
		byte[] held = Objects.requireNonNull(this.cache, "cache must be held");
		this.phase = Phase.IMPORTING;
		this.engines.importCache(server, this.streamId, held)
			.whenComplete((done, failure) -> this.executor.execute(() -> {
				if (this.phase == Phase.IMPORTING) {
					this.phase = Phase.SUSPENDED;
					((failure != null) ? whenImpossible : whenImported).run();
				}
				else if (failure == null) {
					this.engines.cancel(server, this.streamId);
				}
			}));
	}

	/**
	 * Goes on with the imported stream.
	 * @param server the backend server that holds it
	 * @param listener hears the rest of the answer
	 * @return the exchange
	 */
	Exchange resume(BackendServer server, AnswerListener listener) {
		close();
		return this.engines.resume(server, this.streamId, this.receivedBytes, listener);
	}

	/** Lets go of the cache. */
	void close() {
		if (this.phase != Phase.NONE) {
			this.phase = Phase.NONE;
			this.cache = null;
			this.places.release();
		}
	}

	/**
	 * Where a move is.
	 */
	private enum Phase {

		NONE, EXPORTING, SUSPENDED, IMPORTING

	}

}
