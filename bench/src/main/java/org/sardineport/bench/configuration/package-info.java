/**
 * Measurements of the configuration: propagation time of a change, and its cost.
 */
@NullMarked
package org.sardineport.bench.configuration;

import org.jspecify.annotations.NullMarked;
