/**
 * Runs admitted requests to their end. {@link RequestRunner} starts a {@link RequestRun}
 * for each request, which obtains a permit, records the dispatch in the journal if the
 * request has a key, and relays the response of the backend server to an
 * {@link ResponseSink}. {@link DurableTakeover} continues the durable requests of failed
 * daemons.
 */
@NullMarked
package org.sardineport.daemon.exchange;

import org.jspecify.annotations.NullMarked;
