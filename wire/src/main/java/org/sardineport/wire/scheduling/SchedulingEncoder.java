package org.sardineport.wire.scheduling;

import java.time.Duration;

import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.routing.ServerState;
import org.sardineport.core.scheduling.PermitGrant;
import org.sardineport.core.scheduling.PermitPreemption;
import org.sardineport.core.scheduling.PermitQueued;
import org.sardineport.core.scheduling.PermitRefusal;
import org.sardineport.core.scheduling.PermitRelease;
import org.sardineport.core.scheduling.PermitRequest;
import org.sardineport.core.scheduling.PermitWithdrawal;
import org.sardineport.core.scheduling.QuotaRequest;
import org.sardineport.core.scheduling.QuotaSlice;
import org.sardineport.core.scheduling.RunningPermits;
import org.sardineport.core.scheduling.SchedulingMessage;
import org.sardineport.core.scheduling.ServerDigest;
import org.sardineport.wire.message.SchedulingMessage.Builder;

/**
 * Gives scheduling messages their form on the wire.
 */
final class SchedulingEncoder {

	private SchedulingEncoder() {
	}

	static org.sardineport.wire.message.SchedulingMessage encode(SchedulingMessage message) {
		Builder wire = org.sardineport.wire.message.SchedulingMessage.newBuilder();
		if (message instanceof PermitRequest ask) {
			wire.setRequest(request(ask));
		}
		else if (message instanceof PermitGrant grant) {
			wire.setGrant(grant(grant));
		}
		else if (message instanceof PermitQueued queued) {
			wire.setQueued(queued(queued));
		}
		else if (message instanceof PermitRefusal refusal) {
			wire.setRefusal(refusal(refusal));
		}
		else if (message instanceof PermitRelease release) {
			wire.setRelease(release(release));
		}
		else {
			encodeRarer(message, wire);
		}
		return wire.build();
	}

	private static void encodeRarer(SchedulingMessage message, Builder wire) {
		if (message instanceof PermitWithdrawal withdrawal) {
			wire.setWithdrawal(org.sardineport.wire.message.PermitWithdrawal.newBuilder()
				.setRequest(withdrawal.request().value())
				.setBackendServer(withdrawal.backendServer().value()));
		}
		else if (message instanceof PermitPreemption preemption) {
			wire.setPreemption(org.sardineport.wire.message.PermitPreemption.newBuilder()
				.setRequest(preemption.request().value())
				.setBackendServer(preemption.backendServer().value()));
		}
		else if (message instanceof RunningPermits permits) {
			wire.setRunning(org.sardineport.wire.message.RunningPermits.newBuilder()
				.setCompleteForBackendServer(permits.backendServer().value())
				.addAllRunning(permits.running().stream().map((ask) -> request(ask).build()).toList()));
		}
		else if (message instanceof ServerDigest digest) {
			wire.setDigest(state(digest.state()));
		}
		else {
			encodeQuota(message, wire);
		}
	}

	private static void encodeQuota(SchedulingMessage message, Builder wire) {
		if (message instanceof QuotaRequest request) {
			wire.setQuotaRequest(org.sardineport.wire.message.QuotaRequest.newBuilder()
				.setOrganisation(request.organisation().value())
				.setTokens(request.tokens())
				.setLimitTokensPerSecond(request.limit().tokensPerSecond())
				.setLimitBurst(request.limit().burst())
				.setLimitSlack(request.limit().slack())
				.setSequence(request.sequence()));
		}
		else if (message instanceof QuotaSlice slice) {
			wire.setQuotaSlice(org.sardineport.wire.message.QuotaSlice.newBuilder()
				.setOrganisation(slice.organisation().value())
				.setTokens(slice.tokens())
				.setValidMillis(millis(slice.valid()))
				.setSequence(slice.sequence()));
		}
	}

	private static org.sardineport.wire.message.PermitRequest.Builder request(PermitRequest ask) {
		return org.sardineport.wire.message.PermitRequest.newBuilder()
			.setRequest(ask.request().value())
			.setBackendServer(ask.backendServer().value())
			.setPool(ask.pool().value())
			.setOrganisation(ask.organisation().value())
			.setTier(ask.tier().ordinal())
			.setPromptTokens(ask.estimate().prompt())
			.setAnswerTokens(ask.estimate().answer())
			.setPrefixHash(ask.prefixHash())
			.setRunningPolicy(ask.runningPolicy().ordinal())
			.setRemainingMillis(millis(ask.remaining()))
			.setStartWithinMillis(Math.max(1, millis(ask.startWithin())))
			.setPromptWithinMillis(Math.max(1, millis(ask.targetStartWithin())))
			.setRank(ask.rank())
			.setFingerprintHigh(ask.fingerprint().high())
			.setFingerprintLow(ask.fingerprint().low())
			.setMayPreempt(ask.mayPreempt());
	}

	private static org.sardineport.wire.message.PermitGrant.Builder grant(PermitGrant grant) {
		return org.sardineport.wire.message.PermitGrant.newBuilder()
			.setRequest(grant.request().value())
			.setBackendServer(grant.backendServer().value())
			.setValidMillis(millis(grant.valid()))
			.setDigest(state(grant.state()));
	}

	private static org.sardineport.wire.message.PermitQueued.Builder queued(PermitQueued queued) {
		return org.sardineport.wire.message.PermitQueued.newBuilder()
			.setRequest(queued.request().value())
			.setBackendServer(queued.backendServer().value())
			.setExpectedWaitMillis(millis(queued.expectedWait()))
			.setDigest(state(queued.state()));
	}

	private static org.sardineport.wire.message.PermitRefusal.Builder refusal(PermitRefusal refusal) {
		org.sardineport.wire.message.PermitRefusal.Builder wire = org.sardineport.wire.message.PermitRefusal
			.newBuilder()
			.setRequest(refusal.request().value())
			.setBackendServer(refusal.backendServer().value())
			.setReason(refusal.denial().name())
			.setRetryAfterMillis(millis(refusal.retryAfter()));
		ServerState state = refusal.state();
		return (state != null) ? wire.setDigest(state(state)) : wire;
	}

	/**
	 * Returns the wire form of a release, in which the time to the first token is one
	 * more than it was, and zero if there was none.
	 * @param release the release
	 * @return its wire form
	 */
	private static org.sardineport.wire.message.PermitRelease.Builder release(PermitRelease release) {
		RunMeasurement measured = release.measurement();
		Duration first = measured.timeToFirstToken();
		return org.sardineport.wire.message.PermitRelease.newBuilder()
			.setRequest(release.request().value())
			.setBackendServer(release.backendServer().value())
			.setEnd(measured.end().ordinal())
			.setPromptTokens(measured.promptTokens())
			.setCachedPromptTokens(measured.cachedPromptTokens())
			.setAnswerTokens(measured.answerTokens())
			.setFirstTokenMillis((first != null) ? millis(first) + 1 : 0)
			.setDurationMillis(millis(measured.duration()));
	}

	private static org.sardineport.wire.message.ServerDigest.Builder state(ServerState state) {
		return org.sardineport.wire.message.ServerDigest.newBuilder()
			.setBackendServer(state.backendServer().value())
			.setRunning(state.running())
			.setWaiting(state.waiting())
			.setLimit(state.limit())
			.setLowerTierRunning(state.lowerTierRunning())
			.setIsolated(state.isolated())
			.setProbeDue(state.probeDue())
			.setPrefillBacklogMillis((int) Math.min(Integer.MAX_VALUE, state.prefillBacklogMillis()))
			.setServiceMillis((int) Math.min(Integer.MAX_VALUE, state.serviceMillis()))
			.setPrefillMillisBase(state.speed().prefillMillisBase())
			.setPrefillMillisPerToken(state.speed().prefillMillisPerToken())
			.setDecodeMillisBase(state.speed().decodeMillisBase())
			.setDecodeMillisPerRunning(state.speed().decodeMillisPerRunning());
	}

	private static int millis(Duration duration) {
		return (int) Math.max(0, Math.min(Integer.MAX_VALUE - 1, duration.toMillis()));
	}

}
