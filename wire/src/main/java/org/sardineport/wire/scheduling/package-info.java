/**
 * Translation between scheduling messages of the core and their form on the wire.
 */
@NullMarked
package org.sardineport.wire.scheduling;

import org.jspecify.annotations.NullMarked;
