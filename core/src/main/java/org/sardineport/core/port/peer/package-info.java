/**
 * Port to the other daemons of the fleet. {@link PeerTransport} sends each
 * {@link PeerMessage} and delivers received ones to a {@link PeerListener}.
 */
@NullMarked
package org.sardineport.core.port.peer;

import org.jspecify.annotations.NullMarked;
