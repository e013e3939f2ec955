package org.sardineport.core.journal;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.sardineport.core.request.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseAssemblerTests {

	private final ResponseAssembler assembly = ResponseAssembler
		.of(new ResponseLocation(KeyHash.of(KeyedRequests.ORGANISATION, "key"), KeyHash.ofToken("token"), 0));

	private boolean part(String token, int index, int content) {
		return this.assembly.add(new JournalEntry.ResponsePart(KeyedRequests.ORGANISATION, "key", token, index,
				new byte[] { (byte) content }));
	}

	private boolean end(String token, int parts) {
		return this.assembly.add(new JournalEntry.Finished(KeyedRequests.ORGANISATION, "key", token, Outcome.COMPLETED,
				201, Map.of(), parts, new byte[] { 9 }));
	}

	@Test
	void assemblesDuplicateAndOutOfOrderParts() {
		part("token", 1, 2);
		part("token", 0, 1);
		part("token", 1, 2);
		assertThat(end("token", 2)).isTrue();
		assertThat(this.assembly.response().body()).containsExactly(1, 2, 9);
		assertThat(this.assembly.response().status()).isEqualTo(201);
	}

	@Test
	void ignoresEntriesOfAnotherRun() {
		assertThat(part("other", 0, 1)).isFalse();
		assertThat(end("other", 1)).isFalse();
		assertThat(this.assembly.response()).isNull();
	}

	@Test
	void returnsNullWhenPartIsMissing() {
		part("token", 1, 2);
		end("token", 2);
		assertThat(this.assembly.response()).isNull();
	}

}
