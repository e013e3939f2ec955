/**
 * Port to model engines and plain services.
 */
@NullMarked
package org.sardineport.core.port.backend;

import org.jspecify.annotations.NullMarked;
