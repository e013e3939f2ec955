package org.sardineport.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;

/**
 * Messages and records that earlier builds wrote, kept as resources under the commit of
 * their build, one in hexadecimal a line.
 */
public final class Samples {

	private static final int UNKNOWN_NUMBER = 1_007;

	private Samples() {
	}

	/**
	 * Returns the samples of several resources.
	 * @param resources names of the resources
	 * @return the samples in order
	 * @throws IOException if a resource cannot be read
	 */
	public static List<byte[]> read(String... resources) throws IOException {
		List<byte[]> samples = new ArrayList<>();
		for (String resource : resources) {
			samples.addAll(read(resource));
		}
		return samples;
	}

	private static List<byte[]> read(String resource) throws IOException {
		try (InputStream in = Samples.class.getResourceAsStream("/samples/" + resource)) {
			return new String(in.readAllBytes(), StandardCharsets.US_ASCII).lines()
				.map(HexFormat.of()::parseHex)
				.toList();
		}
	}

	/**
	 * Returns an encoded message as a later build might write it, with an additional
	 * field.
	 * @param message the message
	 * @param path numbers of the fields that lead to the messages within it that get the
	 * field; none for the message itself
	 * @return the longer message
	 * @throws IOException if the message is malformed
	 */
	public static byte[] withUnknownField(byte[] message, int... path) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		CodedOutputStream out = CodedOutputStream.newInstance(bytes);
		CodedInputStream in = CodedInputStream.newInstance(message);
		for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
			if (path.length > 0 && WireFormat.getTagFieldNumber(tag) == path[0]) {
				byte[] rest = in.readByteArray();
				out.writeByteArray(path[0], withUnknownField(rest, Arrays.copyOfRange(path, 1, path.length)));
			}
			else {
				in.skipField(tag, out);
			}
		}
		if (path.length == 0) {
			out.writeBytes(UNKNOWN_NUMBER, ByteString.copyFromUtf8("new"));
		}
		out.flush();
		return bytes.toByteArray();
	}

}
