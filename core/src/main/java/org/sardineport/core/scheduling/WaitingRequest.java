package org.sardineport.core.scheduling;

import org.sardineport.core.identity.DaemonId;

/**
 * A request that waits at its owner.
 *
 * @param ask what the entry asked
 * @param entry daemon that asked
 * @param deadline when the answer must be complete, in milliseconds of the owner's clock
 */
record WaitingRequest(PermitRequest ask, DaemonId entry, long deadline) {

}
