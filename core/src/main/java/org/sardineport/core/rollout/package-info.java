/**
 * Progressive delivery of a software version: an operator orders that the traffic of a
 * pool moves to backend servers of another version. One daemon, the coordinator, decides
 * from the evidence of all ({@link org.sardineport.core.rollout.RolloutCoordinator});
 * each daemon follows its announcements
 * ({@link org.sardineport.core.rollout.PoolRollout}).
 */
@NullMarked
package org.sardineport.core.rollout;

import org.jspecify.annotations.NullMarked;
