/**
 * Carries out planned stops.
 */
@NullMarked
package org.sardineport.daemon.stop;

import org.jspecify.annotations.NullMarked;
