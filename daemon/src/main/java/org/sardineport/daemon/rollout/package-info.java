/**
 * Carries out rollouts: {@link org.sardineport.daemon.rollout.RolloutService} follows the
 * orders, exchanges messages with the other daemons and stores the states.
 */
@NullMarked
package org.sardineport.daemon.rollout;

import org.jspecify.annotations.NullMarked;
