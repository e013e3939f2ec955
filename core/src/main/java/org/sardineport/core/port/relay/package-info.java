/**
 * Port to the store in which operators keep the configuration of forwarded requests. A
 * {@link ConfigurationFeed} reads the store repeatedly and reports each read to a
 * {@link ConfigurationListener}.
 */
@NullMarked
package org.sardineport.core.port.relay;

import org.jspecify.annotations.NullMarked;
