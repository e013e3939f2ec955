/**
 * Measures the decisions under load in virtual time against fake engines, beside
 * baselines that know no tiers.
 */
@NullMarked
package org.sardineport.bench.policy;

import org.jspecify.annotations.NullMarked;
