package org.sardineport.core.scheduling;

import org.sardineport.core.port.peer.PeerMessage;

/**
 * A message between the entry side and the owner side of scheduling.
 */
public sealed interface SchedulingMessage extends PeerMessage
		permits PermitRequest, PermitGrant, PermitQueued, PermitRefusal, PermitRelease, PermitWithdrawal,
		PermitPreemption, RunningPermits, QuotaRequest, QuotaSlice, ServerDigest, StatedLimitsReport, DelayProbe {

}
