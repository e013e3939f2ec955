/**
 * Decisions on forwarding requests that carry no idempotency key.
 * {@link RelayAdmissionCheck} admits a request if the configuration held by
 * {@link ConfigurationInForce} has a route and an organisation for it and is fresh.
 * {@link RequestProgress} decides whether a request may be sent again after an attempt at
 * a backend server ended, within the retry budget of {@link FleetRetryBudget}.
 */
@NullMarked
package org.sardineport.core.relay;

import org.jspecify.annotations.NullMarked;
