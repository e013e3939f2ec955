package org.sardineport.wire.transport;

import java.util.List;
import java.util.Objects;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Identity of a daemon towards its peers, with the keys that authenticate it.
 *
 * @param fleet name of the fleet
 * @param daemon name of the daemon
 * @param incarnation number of this run of the daemon, greater than that of any earlier
 * run
 * @param address peer address of the daemon
 * @param keys secrets that authenticate frames, at least 32 characters each; frames are
 * signed with the first and accepted with any
 */
public record PeerIdentity(String fleet, DaemonId daemon, long incarnation, NetworkAddress address, List<String> keys) {

	/** Minimum length of a secret, in characters. */
	public static final int MINIMUM_KEY_LENGTH = 32;

	/**
	 * Creates an identity.
	 * @throws IllegalArgumentException if there is no key, or a key has less than
	 * {@link #MINIMUM_KEY_LENGTH} characters
	 */
	public PeerIdentity {
		Objects.requireNonNull(fleet, "fleet must not be null");
		Objects.requireNonNull(daemon, "daemon must not be null");
		Objects.requireNonNull(address, "address must not be null");
		keys = List.copyOf(keys);
		if (keys.isEmpty()) {
			throw new IllegalArgumentException("keys must not be empty");
		}
		if (keys.stream().anyMatch((key) -> key.length() < MINIMUM_KEY_LENGTH)) {
			throw new IllegalArgumentException(
					"each key must have at least %d characters".formatted(MINIMUM_KEY_LENGTH));
		}
	}

	@Override
	public String toString() {
		return "PeerIdentity[fleet=%s, daemon=%s, incarnation=%d, address=%s]".formatted(this.fleet, this.daemon,
				this.incarnation, this.address);
	}

}
