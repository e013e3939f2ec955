/**
 * Measurements of the request journal: added latency, rate of appends, replay, memory and
 * takeover.
 */
@NullMarked
package org.sardineport.bench.journal;

import org.jspecify.annotations.NullMarked;
