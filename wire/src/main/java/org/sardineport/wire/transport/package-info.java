/**
 * Authenticated datagram transport between daemons.
 */
@NullMarked
package org.sardineport.wire.transport;

import org.jspecify.annotations.NullMarked;
