/**
 * Forwards callers' HTTP requests to backend servers without a journal, on top of
 * {@code core.relay}. {@code RelayServer} accepts requests, {@code RelayExchange} reads
 * and admits each of them, and {@code RelayRun} obtains permits and makes the attempts.
 * All state of requests and connections is confined to one event loop; header names and
 * body formats are behind {@link RelayProtocol}.
 */
@NullMarked
package org.sardineport.daemon.relay;

import org.jspecify.annotations.NullMarked;
