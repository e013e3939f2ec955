/**
 * Event loops of a daemon. Each {@link Duty} runs commands from a bounded ring buffer on
 * a thread of its own, so that state confined to it needs no lock.
 */
@NullMarked
package org.sardineport.daemon.duty;

import org.jspecify.annotations.NullMarked;
