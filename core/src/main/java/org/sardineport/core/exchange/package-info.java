/**
 * Decisions on one exchange with a caller: checks, estimates and the life of a request.
 */
@NullMarked
package org.sardineport.core.exchange;

import org.jspecify.annotations.NullMarked;
