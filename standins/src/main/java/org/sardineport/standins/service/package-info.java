/**
 * Fakes of a plain service with non-idempotent calls, in memory and over HTTP.
 */
@NullMarked
package org.sardineport.standins.service;

import org.jspecify.annotations.NullMarked;
