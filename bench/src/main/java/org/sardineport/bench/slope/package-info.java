/**
 * Measurement of marginal costs (slopes): what each role of a daemon costs for one more
 * daemon, backend server, request or key, and the extrapolation to the scale that the
 * system is designed for.
 */
@NullMarked
package org.sardineport.bench.slope;

import org.jspecify.annotations.NullMarked;
