/**
 * Port to the platform's append-only log service. {@link LogService} appends and reads
 * records of named streams; {@link LogFailure} distinguishes failures by whether an
 * append may have taken effect.
 */
@NullMarked
package org.sardineport.core.port.log;

import org.jspecify.annotations.NullMarked;
