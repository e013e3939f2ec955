/**
 * The journal's duty: appends to the log service and reads from it for the decisions of
 * {@link org.sardineport.core.journal}.
 */
@NullMarked
package org.sardineport.daemon.journal;

import org.jspecify.annotations.NullMarked;
