package org.sardineport.core.quarantine;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against crashes that are not recognised because connections outlive the broken
 * one, and against networks that break connections being taken for crashes.
 */
class CrashEvidenceTests {

	private static boolean indicatesCrash(int others, int closedByServer, int responding) {
		return new CrashEvidence(others, closedByServer, responding).indicatesCrash();
	}

	@Test
	void onlyConnectionIndicatesACrash() {
		assertThat(indicatesCrash(0, 0, 0)).isTrue();
	}

	@Test
	void closedConnectionsIndicateACrashThoughSomeStaySilent() {
		assertThat(indicatesCrash(4, 4, 0)).isTrue();
		assertThat(indicatesCrash(4, 1, 0)).isTrue();
	}

	@Test
	void openConnectionsDoNotIndicateACrash() {
		assertThat(indicatesCrash(4, 0, 0)).isFalse();
	}

	@Test
	void responseRulesACrashOut() {
		assertThat(indicatesCrash(4, 3, 1)).isFalse();
	}

	@Test
	void rejectsMoreConnectionsThanThereAre() {
		assertThatIllegalArgumentException().isThrownBy(() -> new CrashEvidence(1, 1, 1));
	}

}
