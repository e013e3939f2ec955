package org.sardineport.wire.configuration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * DEFLATE in memory, with a bound on what comes out.
 */
final class Compression {

	private Compression() {
	}

	static byte[] deflate(byte[] bytes) {
		ByteArrayOutputStream deflated = new ByteArrayOutputStream();
		try (OutputStream deflater = new DeflaterOutputStream(deflated)) {
			deflater.write(bytes);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return deflated.toByteArray();
	}

	/**
	 * Inflates.
	 * @param bytes what was deflated
	 * @param maximumBytes most bytes to come out
	 * @return the bytes that come out
	 * @throws IOException if the bytes are damaged, or more would come out
	 */
	static byte[] inflate(byte[] bytes, int maximumBytes) throws IOException {
		try (InputStream inflater = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
			byte[] inflated = inflater.readNBytes(maximumBytes + 1);
			if (inflated.length > maximumBytes) {
				throw new IOException("more than %d bytes come out".formatted(maximumBytes));
			}
			return inflated;
		}
	}

}
