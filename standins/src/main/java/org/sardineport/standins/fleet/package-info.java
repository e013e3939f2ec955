/**
 * Memberships of many daemons over a network in memory, in virtual time.
 */
@NullMarked
package org.sardineport.standins.fleet;

import org.jspecify.annotations.NullMarked;
