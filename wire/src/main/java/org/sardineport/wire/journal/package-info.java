/**
 * Encodes journal entries as log records and decodes them again.
 * {@link org.sardineport.wire.journal.JournalCodec} handles batches of entries and
 * delegates the durable request of an accepted entry to {@code KeyedRequestCodec}.
 */
@NullMarked
package org.sardineport.wire.journal;

import org.jspecify.annotations.NullMarked;
