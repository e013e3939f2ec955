/**
 * Overload of the daemon's own processor. {@link TimerLateness} and {@link SmoothedDelay}
 * measure by how much a thread is behind, {@link OverloadControl} decides which requests
 * are refused because of it and when their callers may retry, and {@link ReadPasses}
 * tells whether a disconnection of a caller would be known by now.
 */
@NullMarked
package org.sardineport.core.overload;

import org.jspecify.annotations.NullMarked;
