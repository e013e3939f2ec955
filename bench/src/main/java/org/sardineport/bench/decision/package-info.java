/**
 * Microbenchmark of one scheduling decision.
 */
@NullMarked
package org.sardineport.bench.decision;

import org.jspecify.annotations.NullMarked;
