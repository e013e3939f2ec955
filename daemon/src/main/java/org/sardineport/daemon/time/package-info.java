/**
 * The clock of the running daemon.
 */
@NullMarked
package org.sardineport.daemon.time;

import org.jspecify.annotations.NullMarked;
