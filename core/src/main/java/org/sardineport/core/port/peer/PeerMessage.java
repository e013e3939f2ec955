package org.sardineport.core.port.peer;

/**
 * A message between daemons. Each area of the core has records of its own that implement
 * it.
 */
public interface PeerMessage {

}
