/**
 * Runs the registry of stream origins on a thread of its own.
 * {@link org.sardineport.daemon.stream.StreamOriginService} connects it to the transport
 * and the fleet.
 */
@NullMarked
package org.sardineport.daemon.stream;

import org.jspecify.annotations.NullMarked;
