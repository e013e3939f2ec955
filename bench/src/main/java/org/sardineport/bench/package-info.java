/**
 * Measurements of the decisions and of the daemon, each a command of its own.
 */
@NullMarked
package org.sardineport.bench;

import org.jspecify.annotations.NullMarked;
