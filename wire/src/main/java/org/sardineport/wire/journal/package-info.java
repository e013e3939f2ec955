/**
 * Codec of the journal's records.
 */
@NullMarked
package org.sardineport.wire.journal;

import org.jspecify.annotations.NullMarked;
