/**
 * Limits: concurrency of backend servers, isolation of failing ones, and shares of
 * organisations.
 */
@NullMarked
package org.sardineport.core.limit;

import org.jspecify.annotations.NullMarked;
