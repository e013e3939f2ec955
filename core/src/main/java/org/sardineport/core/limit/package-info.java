/**
 * Limits on what backend servers run and on what organisations use. {@link AdaptiveLimit}
 * bounds the concurrency of a backend server and {@link ServerHealth} isolates a failing
 * one. The owner of an organisation's limit leases tokens from a {@link QuotaPool} or
 * through {@link QuotaLeases}, and each daemon spends them from its {@link QuotaAccount}.
 */
@NullMarked
package org.sardineport.core.limit;

import org.jspecify.annotations.NullMarked;
