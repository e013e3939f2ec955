package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.identity.PoolName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are matched to the wrong route or split among pools other
 * than by weight.
 */
class RelayConfigurationTests {

	/** Far more than the look-ups take on any machine, and far less than they took. */
	private static final int LIMIT_SECONDS = 60;

	private final RelayConfiguration configuration = RelayFixture.configuration(3,
			RelayFixture.route("/a/", RerunPolicy.UNTIL_RESPONSE, 1),
			RelayFixture.route("/a/b/", RerunPolicy.NEVER, 1));

	@ParameterizedTest
	@CsvSource({ "/a/x, /a/", "/a/, /a/", "/a/b/, /a/b/", "/a/b/c/d, /a/b/", "/a/bc, /a/" })
	void longestMatchingPrefixWins(String path, String prefix) {
		assertThat(this.configuration.route(RelayFixture.HOST, path)).map(RelayRoute::pathPrefix).contains(prefix);
	}

	@ParameterizedTest
	@CsvSource({ "host.example, /a", "host.example, /", "host.example, /ab/c", "other.example, /a/x",
			"host.example, a/" })
	void otherHostsAndPathsDoNotMatch(String host, String path) {
		assertThat(this.configuration.route(host, path)).isEmpty();
	}

	/**
	 * Guards against paths of many slashes that occupy the event loop: each look-up took
	 * work that grew with the square of the path's length.
	 */
	@Test
	@Timeout(value = LIMIT_SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
	void lookUpsOfPathsOfManySlashesEnd() {
		String path = "/".repeat(15_000);
		for (int i = 0; i < 10_000; i++) {
			assertThat(this.configuration.route(RelayFixture.HOST, path)).isEmpty();
		}
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4 })
	void findsWhatACheckOfEachRouteFinds(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		RelayRoute[] routes = new RelayRoute[12];
		Arrays.setAll(routes, (i) -> RelayFixture.route(path(random) + "/", RerunPolicy.NEVER, 1));
		RelayConfiguration some = RelayFixture.configuration(1, routes);
		for (int i = 0; i < 1000; i++) {
			String path = path(random) + (random.nextBoolean() ? "/" : "");
			Optional<String> expected = Arrays.stream(routes)
				.map(RelayRoute::pathPrefix)
				.filter(path::startsWith)
				.max(Comparator.comparingInt(String::length));
			assertThat(some.route(RelayFixture.HOST, path).map(RelayRoute::pathPrefix)).as(path).isEqualTo(expected);
		}
	}

	private static String path(SplittableRandom random) {
		StringBuilder path = new StringBuilder();
		for (int parts = random.nextInt(5); parts > 0; parts--) {
			path.append('/').append(random.nextBoolean() ? "a" : "bb");
		}
		return path.toString();
	}

	@Test
	void hostMatchIgnoresCaseAndPort() {
		assertThat(this.configuration.route("HOST.example:8080", "/a/x")).isPresent();
	}

	@Test
	void requestsAreSplitByPoolWeight() {
		RelayRoute split = new RelayRoute("r", "h", "/", RerunPolicy.NEVER, false, Duration.ofSeconds(1),
				Duration.ofSeconds(1), 0,
				List.of(new WeightedPool(RelayFixture.POOL, 90), new WeightedPool(PoolName.of("other"), 10)), 1, false);
		assertThat(split.pool(0).value()).isEqualTo("pool");
		assertThat(split.pool(0.899).value()).isEqualTo("pool");
		assertThat(split.pool(0.901).value()).isEqualTo("other");
	}

}
