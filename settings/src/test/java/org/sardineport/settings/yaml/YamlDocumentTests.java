package org.sardineport.settings.yaml;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.error.InvalidDocumentException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class YamlDocumentTests {

	private static final DocumentLimits LIMITS = new DocumentLimits(10_000, 100, 5);

	private static final String BILLION_LAUGHS = """
			a: &a [x, x, x, x, x, x, x, x, x]
			b: &b [*a, *a, *a, *a, *a, *a, *a, *a, *a]
			c: &c [*b, *b, *b, *b, *b, *b, *b, *b, *b]
			d: &d [*c, *c, *c, *c, *c, *c, *c, *c, *c]
			""";

	@ParameterizedTest
	@EnumSource
	void refuses(InvalidText document) {
		FaultList faults = FaultList.create();
		InvalidDocumentException error = catchThrowableOfType(InvalidDocumentException.class,
				() -> YamlDocument.read("test", document.text, LIMITS, faults));
		assertThat(error.faults()).singleElement().satisfies((fault) -> {
			assertThat(fault.found()).contains(document.found);
			assertThat(fault.remedy()).isNotEmpty();
		});
	}

	@Test
	void reportsTheLineOfASyntaxError() {
		InvalidDocumentException error = catchThrowableOfType(InvalidDocumentException.class,
				() -> YamlDocument.read("test", "a: 1\nb: [1, 2\nc: 3\n", LIMITS, FaultList.create()));
		assertThat(error.faults()).singleElement().satisfies((fault) -> assertThat(fault.line()).isEqualTo(3));
	}

	enum InvalidText {

		EMPTY("", "nothing"), ONLY_A_COMMENT("# nothing here", "nothing"), A_LIST("- a\n- b", "not a section"),
		A_SCALAR("hello", "not a section"), BROKEN("a: [", "not valid YAML"),
		TAB_INDENTED("a:\n\tb: c", "not valid YAML"), BINARY("a: \u0000", "not valid YAML"),
		ANCHOR("a: &x 1", "anchor"), BILLION(BILLION_LAUGHS, "anchor"), MERGE_KEY("a: {b: 1}\nc: {<<: *a}", "anchor"),
		TYPE_TAG("a: !!java.net.URL [http://127.0.0.1]", "tag"), LOCAL_TAG("a: !thing x", "tag"),
		TWO_DOCUMENTS("a: 1\n---\nb: 2", "second document"), TOO_LONG("a: " + "x".repeat(20_000), "characters"),
		TOO_MANY_VALUES("a: [" + "1, ".repeat(200) + "1]", "values"),
		TOO_DEEP("a: " + "[".repeat(50) + "]".repeat(50), "levels"),
		FAR_TOO_DEEP("a: " + "[".repeat(4000) + "]".repeat(4000), "levels");

		private final String text;

		private final String found;

		InvalidText(String text, String found) {
			this.text = text;
			this.found = found;
		}

	}

}
