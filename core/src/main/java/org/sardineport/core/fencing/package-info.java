/**
 * Orders to engines, numbered by the log so that an old holder cannot undo a newer one.
 */
@NullMarked
package org.sardineport.core.fencing;

import org.jspecify.annotations.NullMarked;
