package org.sardineport.core.port.peer;

/**
 * Marker for messages between daemons. Each area of the core defines its own messages as
 * records that implement this interface.
 */
public interface PeerMessage {

}
