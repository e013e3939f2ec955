package org.sardineport.daemon.relay;

import org.sardineport.core.relay.AttemptEnd;

/**
 * Why an attempt ends without a complete response.
 *
 * @param end how it ends
 * @param detail what was observed, for logs and refusals
 */
record AttemptFailure(AttemptEnd end, String detail) {
}
