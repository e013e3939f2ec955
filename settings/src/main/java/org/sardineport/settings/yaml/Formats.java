package org.sardineport.settings.yaml;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.sardineport.core.identity.NetworkAddress;

/**
 * Factory methods for the formats of scalar values in settings and profiles.
 */
public final class Formats {

	private static final Pattern INTEGER = Pattern.compile("0|[1-9][0-9]{0,17}");

	private static final Pattern DURATION = Pattern.compile("(0|[1-9][0-9]{0,8})(ms|s|m|h)");

	private Formats() {
	}

	/**
	 * Returns the format of a name.
	 * @param parser converts the text to the name; throws
	 * {@link IllegalArgumentException} if it is invalid
	 * @param <T> type of the name
	 * @return the format
	 */
	public static <T> ScalarFormat<T> name(Function<String, T> parser) {
		return ScalarFormat.of("a name of 1 to 128 letters, digits, dots, dashes, colons or underscores", parser);
	}

	/**
	 * Returns the format of an {@code int} in decimal notation without leading zeros.
	 * @param minimum smallest valid value
	 * @param maximum largest valid value
	 * @return the format
	 */
	public static ScalarFormat<Integer> integer(int minimum, int maximum) {
		return ScalarFormat.of(range(minimum, maximum), (text) -> Math.toIntExact(parse(text, minimum, maximum)));
	}

	/**
	 * Returns the format of a {@code long} in decimal notation without leading zeros.
	 * @param minimum smallest valid value
	 * @param maximum largest valid value
	 * @return the format
	 */
	public static ScalarFormat<Long> longInteger(long minimum, long maximum) {
		return ScalarFormat.of(range(minimum, maximum), (text) -> parse(text, minimum, maximum));
	}

	/**
	 * Returns the format of a boolean, {@code true} or {@code false}.
	 * @return the format
	 */
	public static ScalarFormat<Boolean> bool() {
		return ScalarFormat.of("true or false", (text) -> switch (text) {
			case "true" -> Boolean.TRUE;
			case "false" -> Boolean.FALSE;
			default -> throw new IllegalArgumentException("value must be true or false");
		});
	}

	/**
	 * Returns the format of a duration: a whole number followed by ms, s, m or h.
	 * @param minimum shortest valid duration
	 * @param maximum longest valid duration
	 * @return the format
	 */
	public static ScalarFormat<Duration> duration(Duration minimum, Duration maximum) {
		String expectation = "a duration of %s to %s, a whole number with ms, s, m or h"
			.formatted(formatDuration(minimum), formatDuration(maximum));
		return ScalarFormat.of(expectation, (text) -> {
			Duration value = parseDuration(text);
			require(value.compareTo(minimum) >= 0 && value.compareTo(maximum) <= 0);
			return value;
		});
	}

	/**
	 * Returns the format of an IP address with a port. Host names and the unspecified
	 * address are invalid.
	 * @return the format
	 */
	public static ScalarFormat<NetworkAddress> address() {
		return ScalarFormat.of("ip:port with an IP number such as 10.0.0.1:8080 or [fd00::1]:8080, not a host name "
				+ "and not the unspecified address", (text) -> {
					NetworkAddress value = NetworkAddress.parse(text);
					require(IpAddresses.isValid(value.ip()) && !IpAddresses.isUnspecified(value.ip()));
					return value;
				});
	}

	/**
	 * Returns the format of an enum constant, written in lower case.
	 * @param type class of the enum
	 * @param <E> type of the constant
	 * @return the format
	 */
	public static <E extends Enum<E>> ScalarFormat<E> constant(Class<E> type) {
		String names = Arrays.stream(type.getEnumConstants())
			.map((constant) -> constant.name().toLowerCase(Locale.ROOT))
			.collect(Collectors.joining(", "));
		return ScalarFormat.of("one of: " + names, (text) -> {
			require(text.equals(text.toLowerCase(Locale.ROOT)));
			return Enum.valueOf(type, text.toUpperCase(Locale.ROOT));
		});
	}

	/**
	 * Returns the format of a text that matches a pattern.
	 * @param expectation description of a valid value, to follow the word "write"
	 * @param pattern pattern that the whole text must match
	 * @return the format
	 */
	public static ScalarFormat<String> matching(String expectation, Pattern pattern) {
		return ScalarFormat.of(expectation, (text) -> {
			require(pattern.matcher(text).matches());
			return text;
		});
	}

	/**
	 * Returns the format of a secret of printable ASCII characters without spaces. The
	 * secret never appears in a fault.
	 * @param minimumLength minimum length in characters
	 * @param maximumLength maximum length in characters
	 * @return the format
	 */
	public static ScalarFormat<String> secret(int minimumLength, int maximumLength) {
		String expectation = "%d to %d printable ASCII characters without spaces".formatted(minimumLength,
				maximumLength);
		return ScalarFormat.secret(expectation, (text) -> {
			require(text.length() >= minimumLength && text.length() <= maximumLength
					&& text.chars().allMatch((character) -> character > ' ' && character < 127));
			return text;
		});
	}

	/**
	 * Formats a duration as in a document, in the largest unit that divides it.
	 * @param duration the duration; truncated to milliseconds
	 * @return the number followed by ms, s, m or h
	 */
	public static String formatDuration(Duration duration) {
		long millis = duration.toMillis();
		if (millis == 0 || millis % 1000 != 0) {
			return millis + "ms";
		}
		if (millis % Duration.ofHours(1).toMillis() == 0) {
			return duration.toHours() + "h";
		}
		return (duration.toSeconds() % 60 == 0) ? duration.toMinutes() + "m" : duration.toSeconds() + "s";
	}

	private static String range(long minimum, long maximum) {
		return "a whole number from %d to %d".formatted(minimum, maximum);
	}

	private static long parse(String text, long minimum, long maximum) {
		require(INTEGER.matcher(text).matches());
		long value = Long.parseLong(text);
		require(value >= minimum && value <= maximum);
		return value;
	}

	private static Duration parseDuration(String text) {
		Matcher matcher = DURATION.matcher(text);
		require(matcher.matches());
		long amount = Long.parseLong(matcher.group(1));
		return switch (matcher.group(2)) {
			case "ms" -> Duration.ofMillis(amount);
			case "s" -> Duration.ofSeconds(amount);
			case "m" -> Duration.ofMinutes(amount);
			default -> Duration.ofHours(amount);
		};
	}

	private static void require(boolean condition) {
		if (!condition) {
			throw new IllegalArgumentException("value is malformed or out of range");
		}
	}

}
