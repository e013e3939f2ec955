/**
 * The daemons and backend servers that are alive, as this daemon knows them.
 */
@NullMarked
package org.sardineport.core.fleet;

import org.jspecify.annotations.NullMarked;
