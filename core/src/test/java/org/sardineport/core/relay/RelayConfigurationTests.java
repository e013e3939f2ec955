package org.sardineport.core.relay;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sardineport.core.identity.PoolName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are matched to the wrong route or split among pools other
 * than by weight.
 */
class RelayConfigurationTests {

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
