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
 * In-memory compression with DEFLATE. The size of inflated data is limited, so that a
 * small input can't exhaust the memory.
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
	 * Inflates data.
	 * @param bytes the deflated data
	 * @param maxBytes maximum size of the inflated data, in bytes
	 * @return the inflated data
	 * @throws IOException if the data is malformed or inflates to more than
	 * {@code maxBytes}
	 */
	static byte[] inflate(byte[] bytes, int maxBytes) throws IOException {
		try (InputStream inflater = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
			byte[] inflated = inflater.readNBytes(maxBytes + 1);
			if (inflated.length > maxBytes) {
				throw new IOException("inflated data exceeds %d bytes".formatted(maxBytes));
			}
			return inflated;
		}
	}

}
