/**
 * What the daemon tells of itself: counters, timers and one log line an event.
 */
@NullMarked
package org.sardineport.daemon.telemetry;

import org.jspecify.annotations.NullMarked;
