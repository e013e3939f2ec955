/**
 * Converts the scheduling messages of the core to and from their protobuf form.
 * {@link org.sardineport.wire.scheduling.SchedulingCodec} decodes messages and uses
 * {@code SchedulingEncoder} to encode them.
 */
@NullMarked
package org.sardineport.wire.scheduling;

import org.jspecify.annotations.NullMarked;
