package org.sardineport.daemon.telemetry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class EventLogTests {

	@Test
	void writesPlainValuesUnquoted() {
		assertThat(EventLog.formatLine("request.refused", "reason", "overloaded", "count", 3))
			.isEqualTo("event=request.refused reason=overloaded count=3");
	}

	@Test
	void quotesValuesThatCouldInjectAPairOrALine() {
		assertThat(EventLog.formatLine("x", "header", "a b=c\n\"d\""))
			.isEqualTo("event=x header=\"a b=c\\u000a\\\"d\\\"\"");
	}

	@Test
	void rejectsAKeyWithoutValue() {
		assertThatIllegalArgumentException().isThrownBy(() -> EventLog.formatLine("x", "key"))
			.withMessageContaining("keys and values in turn");
	}

}
