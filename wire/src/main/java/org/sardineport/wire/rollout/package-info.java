/**
 * Encoding of the messages about rollouts.
 */
@NullMarked
package org.sardineport.wire.rollout;

import org.jspecify.annotations.NullMarked;
