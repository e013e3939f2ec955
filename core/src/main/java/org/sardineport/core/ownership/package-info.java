/**
 * Assigns to each backend server the daemon that grants its permits. {@link Ownership}
 * computes the assignment from the known members by rendezvous hashing, without
 * coordination.
 */
@NullMarked
package org.sardineport.core.ownership;

import org.jspecify.annotations.NullMarked;
