/**
 * Measurements of the fleet: membership, ownership and planned stops.
 */
@NullMarked
package org.sardineport.bench.fleet;

import org.jspecify.annotations.NullMarked;
