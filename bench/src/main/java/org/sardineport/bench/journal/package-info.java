/**
 * Measurements of the journal: added latency, appends, replay, memory and takeover.
 */
@NullMarked
package org.sardineport.bench.journal;

import org.jspecify.annotations.NullMarked;
