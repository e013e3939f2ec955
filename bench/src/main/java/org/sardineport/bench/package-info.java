/**
 * Measurements of the scheduling decisions and of the daemon, each with its own command.
 */
@NullMarked
package org.sardineport.bench;

import org.jspecify.annotations.NullMarked;
