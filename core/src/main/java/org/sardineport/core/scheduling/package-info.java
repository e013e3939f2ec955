/**
 * Decides when and on which backend server a request runs. The entry side
 * ({@link EntryScheduler}) holds requests until they are granted a permit, and the owner
 * side ({@link PermitOwner}) grants the permits of one backend server. {@link Scheduler}
 * combines both sides of one daemon, and daemons exchange {@link SchedulingMessage}s.
 */
@NullMarked
package org.sardineport.core.scheduling;

import org.jspecify.annotations.NullMarked;
