package org.sardineport.core.stream;

import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.OrganisationId;

import static org.assertj.core.api.Assertions.assertThat;

class StreamKeyTests {

	// Two organisations may choose the same request id.
	@Test
	void organisationsWithTheSameRequestIdHaveDifferentKeys() {
		StreamKey first = StreamKey.of(OrganisationId.of("a"), "id");
		assertThat(StreamKey.of(OrganisationId.of("b"), "id")).isNotEqualTo(first);
		assertThat(StreamKey.of(OrganisationId.of("a"), "id")).isEqualTo(first).hasSameHashCodeAs(first);
	}

	// The end of the organisation must not be mistaken for the start of the id.
	@Test
	void textMovedFromOrganisationToRequestIdChangesTheKey() {
		assertThat(StreamKey.of(OrganisationId.of("ab"), "c")).isNotEqualTo(StreamKey.of(OrganisationId.of("a"), "bc"));
	}

	// A request id of a caller may be garbage.
	@Test
	void anyTextHasAKey() {
		assertThat(StreamKey.of(OrganisationId.of("a"), "")).isNotEqualTo(StreamKey.of(OrganisationId.of("a"), "\0"));
	}

}
