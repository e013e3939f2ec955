/**
 * Quarantine of requests, and of parts of prompts, that crash backend servers.
 * {@link StrikeRegistry} counts the {@link Strike}s against each {@link Suspect}, and
 * daemons share them through a {@link StrikeChannel}.
 */
@NullMarked
package org.sardineport.core.quarantine;

import org.jspecify.annotations.NullMarked;
