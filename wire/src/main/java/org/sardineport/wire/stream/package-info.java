/**
 * Encoding of the messages about the origin of streams.
 */
@NullMarked
package org.sardineport.wire.stream;

import org.jspecify.annotations.NullMarked;
