/**
 * Smallest parts that let the daemon start until the real ones are wired in.
 */
@NullMarked
package org.sardineport.daemon.placeholder;

import org.jspecify.annotations.NullMarked;
