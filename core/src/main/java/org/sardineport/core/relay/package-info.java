/**
 * Forwarding of requests that carry no idempotency key: which route and organisation they
 * belong to, how fresh the configuration is that says so, and what may follow when an
 * attempt at a backend server ends.
 */
@NullMarked
package org.sardineport.core.relay;

import org.jspecify.annotations.NullMarked;
