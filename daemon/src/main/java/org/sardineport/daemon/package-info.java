/**
 * The daemon: its wiring and its command line.
 */
@NullMarked
package org.sardineport.daemon;

import org.jspecify.annotations.NullMarked;
