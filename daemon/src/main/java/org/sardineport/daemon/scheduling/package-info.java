/**
 * The scheduling duty: the thread that owns all request and permit state of a daemon.
 */
@NullMarked
package org.sardineport.daemon.scheduling;

import org.jspecify.annotations.NullMarked;
