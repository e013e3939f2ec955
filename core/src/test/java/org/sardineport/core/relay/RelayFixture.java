package org.sardineport.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.limit.OrganisationLimit;

/**
 * Builds routes, organisations and configurations for the tests of this package.
 */
final class RelayFixture {

	static final PoolName POOL = PoolName.of("pool");

	static final String HOST = "host.example";

	static final String KEY = "a-key";

	private RelayFixture() {
	}

	static RelayRoute route(String prefix, RerunPolicy repetition, int attempts) {
		return new RelayRoute("route" + prefix, HOST, prefix, repetition, repetition != RerunPolicy.UNTIL_RESPONSE,
				Duration.ofSeconds(5), Duration.ofMillis(300), 0, List.of(new WeightedPool(POOL, 1)), attempts, false);
	}

	static RelayOrganisation organisation(long tokensPerSecond, long burst) {
		return new RelayOrganisation(OrganisationId.of("organisation"), null,
				new OrganisationLimit(tokensPerSecond, burst, 0), LimitUnit.TOKENS, 200);
	}

	static RelayConfiguration configuration(long version, RelayRoute... routes) {
		return configuration(version, CallerKeys.required(Map.of(KEY, organisation(1000, 1000))), routes);
	}

	static RelayConfiguration configuration(long version, CallerKeys keys, RelayRoute... routes) {
		return RelayConfiguration.of(version, List.of(routes), keys, List.of(new RelayPool(POOL, 6)),
				new CallerLimits(1000, Duration.ofSeconds(30)));
	}

	static RequestHead head(String target, String key) {
		return new RequestHead("request", "GET", target, HOST, key, null, null, null, 0, List.of(), null);
	}

}
