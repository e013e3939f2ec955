package org.sardineport.wire.scheduling;

import java.time.Duration;

import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.limit.StatedLimits;
import org.sardineport.core.routing.ServerState;
import org.sardineport.core.routing.StartRate;
import org.sardineport.core.scheduling.DelayProbe;
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
import org.sardineport.core.scheduling.StatedLimitsReport;
import org.sardineport.wire.message.SchedulingMessage.Builder;

/**
 * Encodes scheduling messages as protobuf messages. Durations are converted to
 * milliseconds and limited to the range from 0 to {@code Integer.MAX_VALUE - 1}.
 */
final class SchedulingEncoder {

	private SchedulingEncoder() {
	}

	static org.sardineport.wire.message.SchedulingMessage encode(SchedulingMessage message) {
		Builder wire = org.sardineport.wire.message.SchedulingMessage.newBuilder();
		if (message instanceof PermitRequest request) {
			wire.setRequest(request(request));
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
			encodeInfrequent(message, wire);
		}
		return wire.build();
	}

	private static void encodeInfrequent(SchedulingMessage message, Builder wire) {
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
				.addAllRunning(permits.running().stream().map((request) -> request(request).build()).toList()));
		}
		else if (message instanceof DelayProbe probe) {
			wire.setDelayProbe(org.sardineport.wire.message.DelayProbe.newBuilder().setSequence(probe.sequence()));
		}
		else if (message instanceof ServerDigest digest) {
			wire.setDigest(state(digest.state()));
		}
		else if (message instanceof StatedLimitsReport report) {
			wire.setStatedLimits(statedLimits(report));
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

	private static org.sardineport.wire.message.PermitRequest.Builder request(PermitRequest request) {
		return org.sardineport.wire.message.PermitRequest.newBuilder()
			.setRequest(request.request().value())
			.setBackendServer(request.backendServer().value())
			.setPool(request.pool().value())
			.setOrganisation(request.organisation().value())
			.setTier(request.tier().ordinal())
			.setPromptTokens(request.estimate().prompt())
			.setAnswerTokens(request.estimate().answer())
			.setPrefixHash(request.prefixHash())
			.setRunningPolicy(request.runningPolicy().ordinal())
			.setRemainingMillis(millis(request.remaining()))
			.setStartWithinMillis(Math.max(1, millis(request.startWithin())))
			.setPromptWithinMillis(Math.max(1, millis(request.targetStartWithin())))
			.setRank(request.rank())
			.setFingerprintHigh(request.fingerprint().high())
			.setFingerprintLow(request.fingerprint().low())
			.setMayPreempt(request.mayPreempt());
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
	 * Encodes a release. The time to the first token is sent plus one millisecond,
	 * because 0 means that no first token was received.
	 * @param release the release to encode
	 * @return the builder of the encoded release
	 */
	private static org.sardineport.wire.message.PermitRelease.Builder release(PermitRelease release) {
		RunMeasurement measurement = release.measurement();
		Duration timeToFirstToken = measurement.timeToFirstToken();
		org.sardineport.wire.message.PermitRelease.Builder wire = org.sardineport.wire.message.PermitRelease
			.newBuilder()
			.setRequest(release.request().value())
			.setBackendServer(release.backendServer().value())
			.setEnd(measurement.end().ordinal())
			.setPromptTokens(measurement.promptTokens())
			.setCachedPromptTokens(measurement.cachedPromptTokens())
			.setAnswerTokens(measurement.answerTokens())
			.setFirstTokenMillis((timeToFirstToken != null) ? millis(timeToFirstToken) + 1 : 0)
			.setDurationMillis(millis(measurement.duration()));
		boolean stated = measurement.statedRequests() != RunMeasurement.NOT_STATED;
		return stated ? wire.setStatedRequests(measurement.statedRequests()) : wire;
	}

	private static org.sardineport.wire.message.StatedLimitsReport.Builder statedLimits(StatedLimitsReport report) {
		org.sardineport.wire.message.StatedLimitsReport.Builder wire = org.sardineport.wire.message.StatedLimitsReport
			.newBuilder()
			.setBackendServer(report.process().server().value())
			.setStartedAtMillis(report.process().startedAt().toEpochMilli())
			.setAgeMillis(millis(report.age()));
		StatedLimits limits = report.limits();
		if (limits.rate().isLimited()) {
			wire.setRequestsPerSecond(limits.rate().requestsPerSecond());
		}
		return limits.limitsRejections() ? wire.setMaxRejections(limits.maxRejections()) : wire;
	}

	private static org.sardineport.wire.message.ServerDigest.Builder state(ServerState state) {
		org.sardineport.wire.message.ServerDigest.Builder wire = stateWithoutRate(state);
		StartRate rate = state.startRate();
		wire.setNextStartMillis((int) Math.min(Integer.MAX_VALUE, rate.nextStartMillis()));
		return rate.limit().isLimited() ? wire.setRequestsPerSecond(rate.limit().requestsPerSecond()) : wire;
	}

	private static org.sardineport.wire.message.ServerDigest.Builder stateWithoutRate(ServerState state) {
		return org.sardineport.wire.message.ServerDigest.newBuilder()
			.setBackendServer(state.backendServer().value())
			.setRunning(state.running())
			.setWaiting(state.waiting())
			.setLimit(state.limit())
			.setLowerTierRunning(state.lowerTierRunning())
			.setIsolated(state.isolated())
			.setProbeDue(state.probeDue())
			.setPrefillBacklogMillis((int) Math.min(Integer.MAX_VALUE, state.prefillBacklogMillis()))
			.setWithheldPercent((int) Math.round((1 - state.requestShare()) * 100))
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
