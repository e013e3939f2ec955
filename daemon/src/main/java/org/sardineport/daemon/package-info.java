/**
 * Entry point of the daemon and construction of its services.
 */
@NullMarked
package org.sardineport.daemon;

import org.jspecify.annotations.NullMarked;
