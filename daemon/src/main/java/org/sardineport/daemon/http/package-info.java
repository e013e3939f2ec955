/**
 * HTTP servers of the daemon. {@code CallerServer} admits requests of callers, reads
 * their bodies and writes responses or problem documents; {@code OperatorServer} serves
 * health, readiness, metrics, status and profiles.
 */
@NullMarked
package org.sardineport.daemon.http;

import org.jspecify.annotations.NullMarked;
