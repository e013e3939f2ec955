/**
 * Runs the request journal of a daemon against the log service. {@link JournalService}
 * runs the partitions of {@link org.sardineport.core.journal} on one thread and decides
 * when to append. {@link PartitionIo} performs the reads and appends of one partition,
 * and {@link Takeovers} handles the requests of dead daemons.
 */
@NullMarked
package org.sardineport.daemon.journal;

import org.jspecify.annotations.NullMarked;
