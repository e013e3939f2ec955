package org.sardineport.bench.slope;

import java.util.List;
import java.util.Map;

import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link SlopeFit}.
 */
class SlopeFitTests {

	private static final Offset<Double> TOLERANCE = Offset.offset(1e-9);

	@Test
	void fitsTheLineThroughCollinearPoints() {
		SlopeFit fit = SlopeFit.of(List.of(Map.of(1, 12.0, 2, 14.0, 10, 30.0)));
		assertThat(fit.slope()).isCloseTo(2, TOLERANCE);
		assertThat(fit.intercept()).isCloseTo(10, TOLERANCE);
		assertThat(fit.at(100)).isCloseTo(210, TOLERANCE);
	}

	@Test
	void returnsTheRangeOfSlopesOverRuns() {
		SlopeFit fit = SlopeFit.of(List.of(Map.of(0, 0.0, 1, 1.0), Map.of(0, 0.0, 1, 3.0), Map.of(0, 0.0, 1, 2.0)));
		assertThat(fit.slope()).isCloseTo(2, TOLERANCE);
		assertThat(fit.lowest()).isCloseTo(1, TOLERANCE);
		assertThat(fit.highest()).isCloseTo(3, TOLERANCE);
	}

	@Test
	void rejectsARunWithASingleSize() {
		assertThatIllegalArgumentException().isThrownBy(() -> SlopeFit.of(List.of(Map.of(1, 1.0))))
			.withMessageContaining("two sizes");
	}

}
