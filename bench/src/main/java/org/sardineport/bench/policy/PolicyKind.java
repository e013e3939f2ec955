package org.sardineport.bench.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.sardineport.core.identity.BackendServerId;

/**
 * Policies that are compared.
 */
enum PolicyKind {

	/** The scheduler of this project. */
	SARDINEPORT {
		@Override
		Policy create(PolicyRun run, long seed) {
			return SchedulerPolicy.create(run, seed);
		}
	},

	/** Each entry sends to one backend server after the other. */
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

	/** Each entry sends to the least load that was reported, ties broken at random. */
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

	/** Each entry sends to the less loaded of two at random, by reported load. */
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
	 * Chooses a backend server for a request.
	 */
	@FunctionalInterface
	interface DirectChoice {

		/**
		 * Returns where a request is sent.
		 * @param job the request
		 * @param pool backend servers that can run it
		 * @param loads load that each reported last
		 * @return the backend server
		 */
		FakeServer choose(Job job, List<FakeServer> pool, Map<BackendServerId, Integer> loads);

	}

}
