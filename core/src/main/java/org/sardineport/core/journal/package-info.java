/**
 * Journal of keyed requests, kept in the log service, which ensures that a request with
 * an idempotency key runs at most once.
 * {@link org.sardineport.core.journal.JournalPartition} holds the state of one partition:
 * it replays the records read from the log, queues new entries and decides claims in log
 * order. {@link org.sardineport.core.journal.RequestJournal} is the interface for request
 * handlers; {@link org.sardineport.core.journal.TakeoverPlan} selects the requests of
 * failed daemons to take over.
 */
@NullMarked
package org.sardineport.core.journal;

import org.jspecify.annotations.NullMarked;
