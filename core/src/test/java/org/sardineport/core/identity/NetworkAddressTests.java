package org.sardineport.core.identity;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class NetworkAddressTests {

	@ParameterizedTest
	@ValueSource(strings = { "10.0.0.9:8080", "0.0.0.0:1", "255.255.255.255:65535", "[::1]:80", "[fe80::1.2.3.4]:80" })
	void writesWhatItParsed(String text) {
		assertThat(NetworkAddress.parse(text)).hasToString(text);
	}

	/**
	 * Guards against host names in hexadecimal digits, whose look-up would hold up other
	 * connections, and against ports out of range.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", ":", ":80", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:-1",
			"10.0.0.9:99999999999", "10.0.0.9:8 0", "localhost:80", "cafe:80", "dead.beef:80", "1:80", "1.2.3:80",
			"1.2.3.4.5:80", "1.2.3.:80", ".1.2.3:80", "999.1.1.1:80", "0001.1.1.1:80", "....:80", "\u0661.1.1.1:80",
			"[\u0661::]:80" })
	void refusesOtherTexts(String text) {
		assertThatIllegalArgumentException().isThrownBy(() -> NetworkAddress.parse(text));
	}

}
