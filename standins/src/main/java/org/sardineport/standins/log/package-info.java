/**
 * Fake of the platform's log service with fault injection, in memory and over HTTP.
 *
 * <p>
 * The HTTP protocol:
 * <ul>
 * <li>{@code POST /v1/streams/{stream}/records} appends the body as one record and
 * responds 200 with the header {@code Log-Offset}. The responses 503, 429 and 413 with
 * the header {@code Log-Effect: none} mean that the record was not appended. After any
 * other response, and after a connection that closes without one, it is unknown whether
 * the record was appended.</li>
 * <li>{@code GET /v1/streams/{stream}/records?from=0&maximum=100&wait=1000} reads
 * records. An offset of -1 stands for the first retained record, and {@code wait} is in
 * milliseconds. The response 200 has the headers {@code Log-Next-Offset} and
 * {@code Log-End-Offset}. Its body holds for each record the offset and the time of its
 * append in milliseconds since the epoch (8 bytes each), its length (4 bytes) and its
 * bytes, with numbers in network byte order. The response 410 means that the offset is
 * older than the retained records.</li>
 * </ul>
 */
@NullMarked
package org.sardineport.standins.log;

import org.jspecify.annotations.NullMarked;
