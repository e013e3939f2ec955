/**
 * The journal of keyed requests, kept in the log service, by which they run at most once.
 */
@NullMarked
package org.sardineport.core.journal;

import org.jspecify.annotations.NullMarked;
