/**
 * Limits: concurrency of backend servers, isolation of failing ones, shares of
 * organisations and budgets of retries.
 */
@NullMarked
package org.sardineport.core.limit;

import org.jspecify.annotations.NullMarked;
