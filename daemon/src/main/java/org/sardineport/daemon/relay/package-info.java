/**
 * Forwards callers' requests to backend servers without a journal: the HTTP side of
 * {@code core.relay}. All state of requests and connections is confined to one event
 * loop; the wire's names and formats are behind {@link RelayProtocol}.
 */
@NullMarked
package org.sardineport.daemon.relay;

import org.jspecify.annotations.NullMarked;
