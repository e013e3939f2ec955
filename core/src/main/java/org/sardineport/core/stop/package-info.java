/**
 * The order of a planned stop.
 */
@NullMarked
package org.sardineport.core.stop;

import org.jspecify.annotations.NullMarked;
