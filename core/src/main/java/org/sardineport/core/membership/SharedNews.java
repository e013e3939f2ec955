package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.request.Fingerprint;

/**
 * News that are not about daemons: strikes, and backend servers that leave. Each is
 * remembered until it ends, so that it is heard and passed on once.
 */
final class SharedNews {

	/** Time for which it is remembered that a backend server said it leaves. */
	static final Duration LEAVING_RETENTION = Duration.ofSeconds(60);

	/** Most items of either kind remembered; the oldest go first. */
	private static final int CAPACITY = 1024;

	private final Map<StrikeKey, Instant> strikeEnds = new LinkedHashMap<>();

	private final Map<BackendServerId, Instant> leavingSince = new LinkedHashMap<>();

	private final BroadcastQueue<StrikeKey> strikes = new BroadcastQueue<>(CAPACITY);

	private final BroadcastQueue<BackendServerId> leaving = new BroadcastQueue<>(CAPACITY);

	/**
	 * Takes a strike to pass on.
	 * @param strike the strike
	 * @param now the current time
	 * @return whether it was not known
	 */
	boolean add(StrikeNews strike, Instant now) {
		StrikeKey key = new StrikeKey(strike.fingerprint(), strike.backendServer());
		if (this.strikeEnds.containsKey(key) || strike.remaining().isZero()) {
			return false;
		}
		makeRoom(this.strikeEnds);
		this.strikeEnds.put(key, now.plus(strike.remaining()));
		this.strikes.add(key);
		return true;
	}

	/**
	 * Takes the news that a backend server leaves.
	 * @param news the news
	 * @param now the current time
	 * @return whether it was not known
	 */
	boolean add(LeavingNews news, Instant now) {
		if (news.age().compareTo(LEAVING_RETENTION) >= 0 || this.leavingSince.containsKey(news.backendServer())) {
			return false;
		}
		makeRoom(this.leavingSince);
		this.leavingSince.put(news.backendServer(), now.minus(news.age()));
		this.leaving.add(news.backendServer());
		return true;
	}

	List<StrikeNews> takeStrikes(int maximum, int limit, Instant now) {
		List<StrikeNews> taken = new ArrayList<>();
		for (StrikeKey key : this.strikes.take(maximum, limit)) {
			Instant ends = this.strikeEnds.get(key);
			if (ends != null && now.isBefore(ends)) {
				taken.add(new StrikeNews(key.fingerprint(), key.backendServer(), Duration.between(now, ends)));
			}
		}
		return taken;
	}

	List<LeavingNews> takeLeaving(int maximum, int limit, Instant now) {
		List<LeavingNews> taken = new ArrayList<>();
		for (BackendServerId server : this.leaving.take(maximum, limit)) {
			Instant since = this.leavingSince.get(server);
			if (since != null) {
				taken.add(new LeavingNews(server, Duration.between(since, now)));
			}
		}
		return taken;
	}

	void forgetEnded(Instant now) {
		this.strikeEnds.values().removeIf((ends) -> !now.isBefore(ends));
		Instant oldest = now.minus(LEAVING_RETENTION);
		this.leavingSince.values().removeIf((since) -> since.isBefore(oldest));
	}

	private static <K> void makeRoom(Map<K, Instant> remembered) {
		if (remembered.size() >= CAPACITY) {
			remembered.remove(remembered.keySet().iterator().next());
		}
	}

	/**
	 * What makes a strike one and the same.
	 *
	 * @param fingerprint the request
	 * @param backendServer the backend server that died
	 */
	private record StrikeKey(Fingerprint fingerprint, BackendServerId backendServer) {

	}

}
