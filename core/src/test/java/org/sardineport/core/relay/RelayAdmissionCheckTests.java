package org.sardineport.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.sardineport.core.exchange.RefusedException;
import org.sardineport.core.request.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Guards against admitting callers, or refusing them permanently, by a configuration that
 * may be out of date.
 */
class RelayAdmissionCheckTests {

	private static final Duration LIFETIME = Duration.ofSeconds(4);

	private Duration steady = Duration.ZERO;

	private boolean backendsKnown = true;

	private final ConfigurationInForce inForce = ConfigurationInForce.create(LIFETIME, this::read);

	private final RelayAdmissionCheck gate = RelayAdmissionCheck.create(this.inForce, () -> this.backendsKnown);

	private ClockReading read() {
		return new ClockReading(this.steady, Instant.EPOCH.plus(this.steady));
	}

	private void configure() {
		this.inForce.accept(RelayFixture.configuration(1, RelayFixture.route("/a/", RerunPolicy.UNTIL_RESPONSE, 1)),
				read());
	}

	private void configure(CallerKeys keys) {
		this.inForce.accept(
				RelayFixture.configuration(1, keys, RelayFixture.route("/a/", RerunPolicy.UNTIL_RESPONSE, 1)), read());
	}

	private RefusalReason refusal(String target, String key) {
		return catchThrowableOfType(RefusedException.class, () -> this.gate.admit(RelayFixture.head(target, key)))
			.refusal()
			.reason();
	}

	@Test
	void admitsKnownKeyOnKnownRoute() throws RefusedException {
		configure();
		RelayAdmission admitted = this.gate.admit(RelayFixture.head("/a/x?q=1", RelayFixture.KEY));
		assertThat(admitted.route().pathPrefix()).isEqualTo("/a/");
		assertThat(admitted.requiresFreshConfiguration()).isTrue();
	}

	@Test
	void refusesUnknownRouteAndKeyWhileConfigurationIsFresh() {
		configure();
		assertThat(refusal("/b/x", RelayFixture.KEY)).isEqualTo(RefusalReason.NO_ROUTE);
		assertThat(refusal("/a/x", "no-key")).isEqualTo(RefusalReason.UNAUTHORIZED);
		assertThat(refusal("/a/x", null)).isEqualTo(RefusalReason.UNAUTHORIZED);
	}

	/**
	 * Guards against taking "no key is in force" for "no key is needed".
	 */
	@Test
	void refusesEveryCallerOnceNoKeyIsInForce() throws RefusedException {
		configure(CallerKeys.required(Map.of()));
		assertThat(refusal("/a/x", RelayFixture.KEY)).isEqualTo(RefusalReason.UNAUTHORIZED);
		assertThat(refusal("/a/x", null)).isEqualTo(RefusalReason.UNAUTHORIZED);
	}

	/**
	 * Guards against accepting a key that was revoked together with the requirement.
	 */
	@Test
	void admitsCallersWithoutKeyIfNoneIsRequiredButRefusesUnknownKeys() throws RefusedException {
		configure(CallerKeys.notRequired());
		assertThat(this.gate.admit(RelayFixture.head("/a/x", null)).organisation()).isNull();
		assertThat(refusal("/a/x", RelayFixture.KEY)).isEqualTo(RefusalReason.UNAUTHORIZED);
	}

	@Test
	void refusesAsNotReadyWhileConfigurationMayBeStale() {
		assertThat(refusal("/a/x", RelayFixture.KEY)).isEqualTo(RefusalReason.NOT_READY);
		configure();
		this.steady = LIFETIME;
		assertThat(refusal("/a/x", RelayFixture.KEY)).isEqualTo(RefusalReason.NOT_READY);
		assertThat(refusal("/b/x", RelayFixture.KEY)).isEqualTo(RefusalReason.NOT_READY);
		assertThat(refusal("/a/x", "no-key")).isEqualTo(RefusalReason.NOT_READY);
	}

	@Test
	void refusesAsNotReadyWhileNoBackendServerIsKnown() {
		configure();
		this.backendsKnown = false;
		assertThat(refusal("/a/x", RelayFixture.KEY)).isEqualTo(RefusalReason.NOT_READY);
		assertThat(this.gate.isReadySoon()).isTrue();
	}

	@Test
	void recheckRefusesOnceConfigurationIsStale() throws RefusedException {
		configure();
		RelayAdmission admitted = this.gate.admit(RelayFixture.head("/a/x", RelayFixture.KEY));
		this.gate.recheck(admitted);
		this.steady = LIFETIME;
		assertThat(catchThrowableOfType(RefusedException.class, () -> this.gate.recheck(admitted))).isNotNull();
	}

}
