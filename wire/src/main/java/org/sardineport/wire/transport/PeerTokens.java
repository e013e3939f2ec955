package org.sardineport.wire.transport;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HexFormat;
import java.util.Objects;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Issues and accepts tokens that prove to a daemon that a connection comes from another
 * daemon of its fleet. A token is text, holds for one receiver and is accepted once. Not
 * thread-safe.
 */
public final class PeerTokens {

	private static final String SEPARATOR = ".";

	private static final int PARTS = 4;

	private final PeerIdentity identity;

	private final FrameAuthenticator authenticator;

	private final ReplayGuard replayGuard = new ReplayGuard();

	private final InstantSource clock;

	private long nextSequence;

	private PeerTokens(PeerIdentity identity, InstantSource clock) {
		this.identity = Objects.requireNonNull(identity, "identity must not be null");
		this.authenticator = FrameAuthenticator.create(identity.keys());
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
	}

	/**
	 * Returns the tokens of a daemon.
	 * @param identity the daemon, with the keys of its fleet
	 * @param clock the clock, as of its messages to other daemons
	 * @return the tokens
	 */
	public static PeerTokens create(PeerIdentity identity, InstantSource clock) {
		return new PeerTokens(identity, clock);
	}

	/**
	 * Issues a token.
	 * @param receiver peer address of the daemon that may accept it
	 * @return the token, of at most 255 characters
	 */
	public String issue(NetworkAddress receiver) {
		String claims = String.join(SEPARATOR, Long.toString(this.identity.incarnation()),
				Long.toString(this.nextSequence++), Long.toString(this.clock.millis()));
		byte[] tag = this.authenticator.sign(receiver, signed(this.identity.daemon().value(), claims));
		return claims + SEPARATOR + HexFormat.of().formatHex(tag);
	}

	/**
	 * Checks a token and makes it unusable.
	 * @param sender name of the daemon that presents it
	 * @param token the token, from an untrusted source
	 * @return whether it was issued by that daemon for this one and is presented for the
	 * first time
	 */
	public boolean accept(String sender, String token) {
		int end = token.lastIndexOf(SEPARATOR);
		String[] parts = token.split("\\.", PARTS + 1);
		if (parts.length != PARTS) {
			return false;
		}
		try {
			DaemonId.of(sender);
			byte[] tag = HexFormat.of().parseHex(parts[PARTS - 1]);
			return this.authenticator.verify(this.identity.address(), signed(sender, token.substring(0, end)), tag)
					&& this.replayGuard
						.check(sender, Long.parseLong(parts[0]), Long.parseLong(parts[1]),
								Instant.ofEpochMilli(Long.parseLong(parts[2])), this.clock.instant())
						.isEmpty();
		}
		catch (IllegalArgumentException ex) {
			return false;
		}
	}

	// No message between daemons begins with these characters, so that its tag is no
	// token.
	private byte[] signed(String sender, String claims) {
		return ("token\n" + this.identity.fleet() + "\n" + sender + "\n" + claims).getBytes(StandardCharsets.UTF_8);
	}

}
