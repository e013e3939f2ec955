package org.sardineport.daemon.exchange;

import java.util.Objects;
import java.util.concurrent.Semaphore;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.port.backend.Exchange;
import org.sardineport.core.port.backend.ModelEngine;
import org.sardineport.core.port.backend.ResponseListener;

/**
 * Migrates the stream of a preempted run by means of its KV cache. The cache is exported,
 * held while the run waits for another permit, and imported by the next backend server;
 * the stream then resumes after the last byte received. The engine continues the same
 * stream, so a migration is not a second dispatch. Used on the run's executor only.
 */
final class StreamMigration {

	/** Maximum number of migrations of one run. */
	private static final int MAX_MIGRATIONS = 8;

	private final ModelEngine engines;

	private final Semaphore slots;

	private final String streamId;

	private final SerialExecutor executor;

	private Phase phase = Phase.NONE;

	private byte @Nullable [] cache;

	private int migrations;

	private long receivedBytes;

	StreamMigration(RunServices services, String streamId, SerialExecutor executor) {
		this.engines = services.engines();
		this.slots = services.suspendedStreams();
		this.streamId = streamId;
		this.executor = executor;
	}

	/**
	 * Counts received bytes of the response body. A migrated stream resumes after them.
	 * @param bytes number of bytes received
	 */
	void addReceived(int bytes) {
		this.receivedBytes += bytes;
	}

	boolean isExporting() {
		return this.phase == Phase.EXPORTING;
	}

	/**
	 * Returns whether the run is suspended, waiting for a permit to resume with.
	 * @return {@code true} if this daemon holds the cache and no import is in progress
	 */
	boolean isSuspended() {
		return this.phase == Phase.SUSPENDED;
	}

	boolean hasMigrated() {
		return this.migrations > 0;
	}

	/**
	 * Starts exporting the stream, unless a migration is in progress, the backend server
	 * is not a model engine, or a limit on migrations or suspended streams is reached.
	 * @param server the backend server that runs the stream
	 * @param whenSuspended called when this daemon holds the cache
	 * @param whenFailed called when the engine did not export the stream
	 * @return whether the export was started
	 */
	boolean tryExport(BackendServer server, Runnable whenSuspended, Runnable whenFailed) {
		if (this.phase != Phase.NONE || server.kind() != BackendKind.MODEL_ENGINE || this.migrations >= MAX_MIGRATIONS
				|| !this.slots.tryAcquire()) {
			return false;
		}
		this.phase = Phase.EXPORTING;
		this.engines.exportCache(server, this.streamId)
			.whenComplete((exported, failure) -> this.executor
				.execute(() -> onExported(exported, whenSuspended, whenFailed)));
		return true;
	}

	private void onExported(byte @Nullable [] exported, Runnable whenSuspended, Runnable whenFailed) {
		if (this.phase != Phase.EXPORTING) {
			return;
		}
		if (exported == null) {
			close();
			whenFailed.run();
			return;
		}
		this.cache = exported;
		this.migrations++;
		this.phase = Phase.SUSPENDED;
		whenSuspended.run();
	}

	/**
	 * Imports the held cache into a backend server. If the migration is closed meanwhile,
	 * an imported stream is cancelled there.
	 * @param server the backend server to resume on
	 * @param whenImported called when the backend server holds the stream
	 * @param whenFailed called when the import failed; the run stays suspended
	 */
	void importTo(BackendServer server, Runnable whenImported, Runnable whenFailed) {
		byte[] held = Objects.requireNonNull(this.cache, "cache must be held");
		this.phase = Phase.IMPORTING;
		this.engines.importCache(server, this.streamId, held)
			.whenComplete((done, failure) -> this.executor.execute(() -> {
				if (this.phase == Phase.IMPORTING) {
					this.phase = Phase.SUSPENDED;
					((failure != null) ? whenFailed : whenImported).run();
				}
				else if (failure == null) {
					this.engines.cancel(server, this.streamId);
				}
			}));
	}

	/**
	 * Resumes the imported stream and releases the held cache.
	 * @param server the backend server that holds the stream
	 * @param listener receives the rest of the response
	 * @return the exchange
	 */
	Exchange resume(BackendServer server, ResponseListener listener) {
		close();
		return this.engines.resume(server, this.streamId, this.receivedBytes, listener);
	}

	/** Releases the cache and its slot, if a migration is in progress. */
	void close() {
		if (this.phase != Phase.NONE) {
			this.phase = Phase.NONE;
			this.cache = null;
			this.slots.release();
		}
	}

	/**
	 * Phase of a migration. A slot is held in every phase but {@code NONE}.
	 */
	private enum Phase {

		NONE, EXPORTING, SUSPENDED, IMPORTING

	}

}
