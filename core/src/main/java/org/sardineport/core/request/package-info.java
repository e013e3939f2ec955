/**
 * Vocabulary for requests that the scheduler, the journal and the daemons share.
 * {@link Tier}, {@link TokenEstimate} and {@link RunningPolicy} describe a request to the
 * scheduler, {@link Fingerprint} identifies it, and {@link Refusal} reports to its caller
 * why it was not served and what is known about its execution.
 */
@NullMarked
package org.sardineport.core.request;

import org.jspecify.annotations.NullMarked;
