/**
 * Learns beyond which load a backend server gains no throughput.
 * {@link org.sardineport.core.capacity.LearnedCapacity} limits the concurrency by the
 * comparisons of {@link org.sardineport.core.capacity.LoadCurve}.
 */
@NullMarked
package org.sardineport.core.capacity;

import org.jspecify.annotations.NullMarked;
