/**
 * In-memory network between daemons with fault injection.
 */
@NullMarked
package org.sardineport.standins.peer;

import org.jspecify.annotations.NullMarked;
