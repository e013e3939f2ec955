package org.sardineport.bench.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.sardineport.core.identity.BackendServerId;

/**
 * Policies that the measurement compares.
 */
enum PolicyKind {

	/** Production scheduler. */
	SARDINEPORT {
		@Override
		Policy create(PolicyRun run, long seed) {
			return SchedulerPolicy.create(run, seed);
		}
	},

	/** Each daemon cycles through the backend servers. */
	ROUND_ROBIN {
		@Override
		Policy create(PolicyRun run, long seed) {
			Map<String, Integer> next = new HashMap<>();
			return new DirectPolicy(run, (job, pool, loads) -> {
				String key = job.entry() + "/" + job.request().pool();
				int index = next.merge(key, 1, Integer::sum) + job.entry();
				return pool.get(index % pool.size());
			});
		}
	},

	/** Each daemon chooses the least reported load, with random tie-breaking. */
	LEAST_REPORTED_LOAD {
		@Override
		Policy create(PolicyRun run, long seed) {
			SplittableRandom random = new SplittableRandom(seed);
			return new DirectPolicy(run, (job, pool, loads) -> {
				int start = random.nextInt(pool.size());
				return IntStream.range(0, pool.size())
					.mapToObj((i) -> pool.get((start + i) % pool.size()))
					.min(Comparator.comparingInt((server) -> load(server, loads)))
					.orElseThrow();
			});
		}
	},

	/** Each daemon chooses the less loaded of two random backend servers, as reported. */
	TWO_CHOICES {
		@Override
		Policy create(PolicyRun run, long seed) {
			SplittableRandom random = new SplittableRandom(seed);
			return new DirectPolicy(run, (job, pool, loads) -> {
				FakeServer first = pool.get(random.nextInt(pool.size()));
				FakeServer second = pool.get(random.nextInt(pool.size()));
				return (load(first, loads) <= load(second, loads)) ? first : second;
			});
		}
	};

	abstract Policy create(PolicyRun run, long seed);

	boolean isBaseline() {
		return this != SARDINEPORT;
	}

	private static int load(FakeServer server, Map<BackendServerId, Integer> loads) {
		return loads.getOrDefault(server.server().id(), 0);
	}

	/**
	 * Strategy of a {@link DirectPolicy} to choose a backend server.
	 */
	@FunctionalInterface
	interface DirectChoice {

		/**
		 * Chooses a backend server for a request.
		 * @param job the request
		 * @param pool the backend servers of the request's pool, at least one
		 * @param loads number of running and waiting requests by the last load report of
		 * each backend server
		 * @return the backend server
		 */
		FakeServer choose(Job job, List<FakeServer> pool, Map<BackendServerId, Integer> loads);

	}

}
