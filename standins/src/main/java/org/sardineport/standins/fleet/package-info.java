/**
 * Simulation of the membership of many daemons over an in-memory network, in virtual
 * time.
 */
@NullMarked
package org.sardineport.standins.fleet;

import org.jspecify.annotations.NullMarked;
