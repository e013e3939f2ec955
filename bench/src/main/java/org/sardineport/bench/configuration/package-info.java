/**
 * Measurements of the configuration: time until a change is in force, and its cost.
 */
@NullMarked
package org.sardineport.bench.configuration;

import org.jspecify.annotations.NullMarked;
