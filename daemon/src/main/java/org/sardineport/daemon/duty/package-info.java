/**
 * Duties: one thread each, fed by a bounded ring.
 */
@NullMarked
package org.sardineport.daemon.duty;

import org.jspecify.annotations.NullMarked;
