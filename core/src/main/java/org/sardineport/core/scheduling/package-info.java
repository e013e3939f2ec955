/**
 * Decides when and on which backend server a request runs. The entry side
 * ({@link EntryScheduler}) holds requests until they are granted a permit. The owner side
 * ({@link OwnerScheduler}) has a {@link PermitOwner} for each backend server that it
 * owns, which grants the permits there. {@link Scheduler} combines both sides of one
 * daemon, and daemons exchange {@link SchedulingMessage}s.
 */
@NullMarked
package org.sardineport.core.scheduling;

import org.jspecify.annotations.NullMarked;
