package org.sardineport.wire.transport;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import io.netty.util.NetUtil;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Signs and verifies frames with HMAC-SHA256 truncated to 128 bits. The tag also covers
 * the receiver's address, so that a frame can't be replayed to another daemon. Not
 * thread-safe.
 */
final class FrameAuthenticator {

	/** Length of a tag in bytes. */
	static final int TAG_BYTES = 16;

	private static final String ALGORITHM = "HmacSHA256";

	private final List<Mac> macs;

	private FrameAuthenticator(List<Mac> macs) {
		this.macs = macs;
	}

	/**
	 * Creates an authenticator.
	 * @param keys the secrets; frames are signed with the first and accepted with any, so
	 * that keys can be rotated
	 * @return the authenticator
	 */
	static FrameAuthenticator create(List<String> keys) {
		return new FrameAuthenticator(keys.stream().map(FrameAuthenticator::mac).toList());
	}

	byte[] sign(NetworkAddress receiver, byte[] payload) {
		return tag(this.macs.get(0), receiver, payload);
	}

	boolean verify(NetworkAddress receiver, byte[] payload, byte[] tag) {
		boolean authentic = false;
		for (Mac mac : this.macs) {
			authentic |= MessageDigest.isEqual(tag, tag(mac, receiver, payload));
		}
		return authentic;
	}

	private static byte[] tag(Mac mac, NetworkAddress receiver, byte[] payload) {
		mac.update(addressBytes(receiver));
		mac.update((byte) (receiver.port() >>> Byte.SIZE));
		mac.update((byte) receiver.port());
		return Arrays.copyOf(mac.doFinal(payload), TAG_BYTES);
	}

	private static byte[] addressBytes(NetworkAddress address) {
		byte[] bytes = NetUtil.createByteArrayFromIpAddressString(address.ip());
		if (bytes == null) {
			throw new IllegalArgumentException("address must be an IP number, found '%s'".formatted(address.ip()));
		}
		return bytes;
	}

	private static Mac mac(String key) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(key.getBytes(StandardCharsets.UTF_8), ALGORITHM));
			return mac;
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("missing required algorithm " + ALGORITHM, ex);
		}
	}

}
