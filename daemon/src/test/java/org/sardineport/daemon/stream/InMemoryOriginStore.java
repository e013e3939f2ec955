package org.sardineport.daemon.stream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.stream.OriginStore;
import org.sardineport.core.stream.SoleVersions;
import org.sardineport.core.stream.StoredOrigin;
import org.sardineport.core.stream.StreamKey;
import org.sardineport.core.stream.StreamRecord;

/**
 * Origins in memory, shared by the daemons of a test. Thread-safe.
 */
final class InMemoryOriginStore implements OriginStore {

	private final Map<StreamKey, StreamRecord> records = new HashMap<>();

	private SoleVersions statement = SoleVersions.NONE;

	private boolean unreachable;

	private int calls;

	synchronized void state(Map<PoolName, SoftwareVersion> versions) {
		this.statement = new SoleVersions(this.statement.revision() + 1, versions);
	}

	synchronized void unreachable() {
		this.unreachable = true;
	}

	synchronized int size() {
		return this.records.size();
	}

	synchronized int calls() {
		return this.calls;
	}

	@Override
	public long era() {
		return 1;
	}

	private <T> CompletionStage<T> answer(T answer) {
		this.calls++;
		return this.unreachable ? CompletableFuture.failedFuture(new IllegalStateException("store is unreachable"))
				: CompletableFuture.completedFuture(answer);
	}

	@Override
	public synchronized CompletionStage<StreamRecord> find(StreamKey key) {
		return answer(this.records.getOrDefault(key, StreamRecord.EMPTY));
	}

	@Override
	public synchronized CompletionStage<Void> append(List<StoredOrigin> origins) {
		origins
			.forEach((origin) -> this.records.merge(origin.key(), StreamRecord.of(origin.run()), StreamRecord::merge));
		return answer(null);
	}

	@Override
	public synchronized CompletionStage<SoleVersions> soleVersions() {
		return answer(this.statement);
	}

	@Override
	public synchronized CompletionStage<SoleVersions> replace(SoleVersions stored,
			Map<PoolName, SoftwareVersion> next) {
		if (!stored.equals(this.statement)) {
			return CompletableFuture.failedFuture(new IllegalStateException("the statement has been replaced"));
		}
		state(next);
		return answer(this.statement);
	}

}
