/**
 * The boundary between a caller's connection and the scheduling decisions made for it.
 */
@NullMarked
package org.sardineport.core.admission;

import org.jspecify.annotations.NullMarked;
