package org.sardineport.core.relay;

import org.jspecify.annotations.Nullable;

/**
 * What a caller tells about a stream that it takes up again after its connection broke.
 *
 * @param firstRequestId identity of the caller's request that received the first event of
 * the stream, or {@code null} if the caller does not tell
 */
public record ResumedStream(@Nullable String firstRequestId) {

}
