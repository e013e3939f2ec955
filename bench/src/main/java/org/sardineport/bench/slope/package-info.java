/**
 * Slopes: what each role costs for one more daemon, backend server, request or key, and
 * what that comes to at the size that the system is designed for.
 */
@NullMarked
package org.sardineport.bench.slope;

import org.jspecify.annotations.NullMarked;
