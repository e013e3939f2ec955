/**
 * Port to the platform's append-only log service.
 */
@NullMarked
package org.sardineport.core.port.log;

import org.jspecify.annotations.NullMarked;
