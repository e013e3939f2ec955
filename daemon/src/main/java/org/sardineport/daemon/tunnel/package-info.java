/**
 * Connections to backend servers that one daemon carries for another that has no path to
 * them. {@link org.sardineport.daemon.tunnel.TunnelServer} accepts them by SOCKS version
 * 5 (RFC 1928, RFC 1929) from daemons of the fleet only, and only to backend servers that
 * are listed. It passes bytes on and decides nothing.
 */
@NullMarked
package org.sardineport.daemon.tunnel;

import org.jspecify.annotations.NullMarked;
