/**
 * Ports to where operators keep the configuration of forwarded requests.
 */
@NullMarked
package org.sardineport.core.port.relay;

import org.jspecify.annotations.NullMarked;
