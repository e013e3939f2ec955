/**
 * Event loops of a daemon. Each {@link EventLoop} runs commands from a bounded ring
 * buffer on a thread of its own, so that state confined to it needs no lock.
 */
@NullMarked
package org.sardineport.daemon.eventloop;

import org.jspecify.annotations.NullMarked;
