/**
 * A network between daemons in memory, with faults to order.
 */
@NullMarked
package org.sardineport.standins.peer;

import org.jspecify.annotations.NullMarked;
