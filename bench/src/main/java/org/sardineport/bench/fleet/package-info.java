/**
 * Measurements of the fleet: membership, ownership and graceful shutdown.
 */
@NullMarked
package org.sardineport.bench.fleet;

import org.jspecify.annotations.NullMarked;
