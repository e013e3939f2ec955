package org.sardineport.daemon.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards that a change of the members is published: a list of other objects must never
 * count as the same.
 */
class SameElementsTests {

	private static final Object ONE = new Object();

	private static final Object OTHER = new Object();

	@Test
	void sameObjectsInTheSameOrderAreTheSame() {
		assertThat(SameElements.in(List.of(ONE, OTHER), List.of(ONE, OTHER))).isTrue();
		assertThat(SameElements.in(List.of(), List.of())).isTrue();
	}

	@Test
	void otherObjectsOrderOrNumberAreNotTheSame() {
		assertThat(SameElements.in(List.of(ONE, OTHER), List.of(OTHER, ONE))).isFalse();
		assertThat(SameElements.in(List.of(ONE), List.of(ONE, OTHER))).isFalse();
		assertThat(SameElements.in(List.of(ONE, ONE), List.of(ONE, OTHER))).isFalse();
	}

}
