/**
 * Port to backend servers. {@link PlainService} sends requests to any backend server, and
 * {@link ModelEngine} adds control of streams, caches and roles of model engines.
 * Responses are delivered to an {@link ResponseListener}.
 */
@NullMarked
package org.sardineport.core.port.backend;

import org.jspecify.annotations.NullMarked;
