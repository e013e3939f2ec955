/**
 * Decisions on a single exchange with a caller, without I/O. {@link AdmissionCheck}
 * validates the head of a request, {@link RequestLifecycle} tracks its phases,
 * {@link CompletionCheck} and {@link ResponseTokenMeter} examine its response, and
 * {@link RunVerdict} classifies a failed exchange for the scheduler and the caller.
 */
@NullMarked
package org.sardineport.core.exchange;

import org.jspecify.annotations.NullMarked;
