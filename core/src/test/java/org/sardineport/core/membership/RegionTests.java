package org.sardineport.core.membership;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sardineport.core.identity.FailureDomain;

import static org.assertj.core.api.Assertions.assertThat;

class RegionTests {

	@ParameterizedTest
	@CsvSource({ "lalitpur, baneshwor, true", "east.a, east.b, true", "east.a, west.a, false", "east, east.a, false",
			"east.a.1, east.b.1, true" })
	void groupsFailureDomainsByFirstPartOfName(String first, String second, boolean same) {
		assertThat(Region.of(FailureDomain.of(first)).equals(Region.of(FailureDomain.of(second)))).isEqualTo(same);
	}

}
