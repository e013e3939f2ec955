/**
 * Start and stop of the services of a process.
 * {@link org.sardineport.core.lifecycle.ServiceSequence} starts several
 * {@link org.sardineport.core.lifecycle.Service}s in order and stops them in the reverse
 * order.
 */
@NullMarked
package org.sardineport.core.lifecycle;

import org.jspecify.annotations.NullMarked;
