/**
 * Orders to engines with fencing numbers, so that the order of an earlier holder cannot
 * undo a later one. The log offset of an {@link OrderIntent} is its fencing number,
 * {@link IntentLog} holds the latest one for each engine, and {@link FencedOrder} decides
 * when its order is sent, verified or stopped.
 */
@NullMarked
package org.sardineport.core.fencing;

import org.jspecify.annotations.NullMarked;
