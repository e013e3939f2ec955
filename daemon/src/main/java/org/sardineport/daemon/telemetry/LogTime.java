package org.sardineport.daemon.telemetry;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;

/**
 * Formats log timestamps in ISO 8601, in UTC with millisecond precision. Avoids
 * {@code DateTimeFormatter}, whose locale data adds tens of milliseconds to the start-up
 * of each process.
 */
final class LogTime {

	private static final int NANOS_PER_MILLI = 1_000_000;

	private LogTime() {
	}

	static void append(StringBuilder out, Instant time) {
		LocalDateTime local = LocalDateTime.ofEpochSecond(time.getEpochSecond(), time.getNano(), ZoneOffset.UTC);
		appendPadded(out, local.getYear(), 4).append('-');
		appendPadded(out, local.getMonthValue(), 2).append('-');
		appendPadded(out, local.getDayOfMonth(), 2).append('T');
		appendPadded(out, local.getHour(), 2).append(':');
		appendPadded(out, local.getMinute(), 2).append(':');
		appendPadded(out, local.getSecond(), 2).append('.');
		appendPadded(out, local.getNano() / NANOS_PER_MILLI, 3).append('Z');
	}

	private static StringBuilder appendPadded(StringBuilder out, int value, int digits) {
		String text = Integer.toString(value);
		for (int i = text.length(); i < digits; i++) {
			out.append('0');
		}
		return out.append(text);
	}

}
