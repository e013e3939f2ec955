/**
 * Simulation of the scheduling policy under load, in virtual time and with fake engines,
 * in comparison with baselines that have no tiers.
 */
@NullMarked
package org.sardineport.bench.policy;

import org.jspecify.annotations.NullMarked;
