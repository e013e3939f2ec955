/**
 * State machine of a planned stop. {@link org.sardineport.core.stop.PlannedStop} moves
 * through the {@link org.sardineport.core.stop.StopPhase}s by the times of a
 * {@link org.sardineport.core.stop.StopTiming}, the requests in flight and the state of
 * the flush.
 */
@NullMarked
package org.sardineport.core.stop;

import org.jspecify.annotations.NullMarked;
