/**
 * Stand-in for the platform's log service, with switches for its faults.
 *
 * <p>
 * Over HTTP it speaks this protocol:
 * <ul>
 * <li>{@code POST /v1/streams/{stream}/records} appends the body as one record and
 * answers 200 with the header {@code Log-Offset}. Answers 503, 429 and 413 with the
 * header {@code Log-Effect: none} say that the record was not taken. Any other answer,
 * and a connection that closes without one, says nothing of the record.</li>
 * <li>{@code GET /v1/streams/{stream}/records?from=0&maximum=100&wait=1000} reads; from
 * -1 stands for the first record kept, and {@code wait} is in milliseconds. The answer
 * 200 has the headers {@code Log-Next-Offset} and {@code Log-End-Offset}; its body holds
 * for each record the offset and the time of its append in milliseconds (8 bytes each),
 * the length (4 bytes) and the bytes of the record, numbers in network byte order. The
 * answer 410 says that the offset is older than what is kept.</li>
 * </ul>
 */
@NullMarked
package org.sardineport.standins.log;

import org.jspecify.annotations.NullMarked;
