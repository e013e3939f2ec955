package org.sardineport.daemon.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.sardineport.core.identity.PoolName;
import org.sardineport.core.rollout.RolloutState;
import org.sardineport.core.rollout.RolloutStatus;
import org.sardineport.core.rollout.RolloutStore;
import org.sardineport.core.rollout.StoredRollout;

/**
 * Store in memory that can be down or lose answers. Thread-safe.
 */
final class SimulatedRolloutStore implements RolloutStore {

	private final List<RolloutStatus> records = new ArrayList<>();

	private int lostAnswers;

	private boolean down;

	synchronized void loseAnswers(int count) {
		this.lostAnswers = count;
	}

	synchronized void setDown(boolean isDown) {
		this.down = isDown;
	}

	synchronized List<RolloutState> states() {
		return this.records.stream().map(RolloutStatus::state).toList();
	}

	synchronized void put(RolloutStatus status) {
		this.records.add(status);
	}

	@Override
	public synchronized CompletionStage<StoredRollout> read(PoolName pool) {
		if (this.down) {
			return CompletableFuture.failedStage(new IllegalStateException("the store is down"));
		}
		for (int i = this.records.size() - 1; i >= 0; i--) {
			if (this.records.get(i).pool().equals(pool)) {
				return CompletableFuture
					.completedStage(new StoredRollout(this.records.get(i), i + 1, this.records.size()));
			}
		}
		return CompletableFuture.completedStage(new StoredRollout(null, 0, this.records.size()));
	}

	@Override
	public synchronized CompletionStage<Void> append(RolloutStatus status, long next) {
		if (this.down || next != this.records.size()) {
			return CompletableFuture.failedStage(new IllegalStateException("the record was not stored"));
		}
		this.records.add(status);
		if (this.lostAnswers > 0) {
			this.lostAnswers--;
			return CompletableFuture.failedStage(new IllegalStateException("no answer"));
		}
		return CompletableFuture.completedStage(null);
	}

}
