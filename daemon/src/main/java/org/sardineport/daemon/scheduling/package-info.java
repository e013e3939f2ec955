/**
 * Connects the scheduling decisions of {@code core.scheduling} to a running daemon.
 * {@link SchedulingService} is the event loop whose thread owns all request and permit
 * state of the daemon.
 */
@NullMarked
package org.sardineport.daemon.scheduling;

import org.jspecify.annotations.NullMarked;
