package org.sardineport.wire.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.limit.OrganisationLimit;
import org.sardineport.core.limit.RateLimit;
import org.sardineport.core.limit.StatedLimits;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;
import org.sardineport.core.routing.ServerState;
import org.sardineport.core.routing.Speed;
import org.sardineport.core.routing.StartRate;
import org.sardineport.core.scheduling.DelayProbe;
import org.sardineport.core.scheduling.PermitDenial;
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
import org.sardineport.wire.message.Envelope;
import org.sardineport.wire.transport.MalformedMessageException;
import org.sardineport.wire.transport.PeerCodec;

/**
 * Converts scheduling messages to their protobuf form and back. Decoding rejects the
 * whole message if any value is out of range, except for constants of later builds that
 * must not be lost.
 */
public final class SchedulingCodec implements PeerCodec<SchedulingMessage> {

	/** Even an owner that reads messages late gets some permit requests. */
	private static final int MAX_WITHHELD_PERCENT = 99;

	private static final double PERCENT = 100;

	private SchedulingCodec() {
	}

	/**
	 * Creates a codec. It holds no state and may be used by any thread.
	 * @return a new codec
	 */
	public static SchedulingCodec create() {
		return new SchedulingCodec();
	}

	@Override
	public Class<SchedulingMessage> type() {
		return SchedulingMessage.class;
	}

	@Override
	public Envelope.BodyCase bodyCase() {
		return Envelope.BodyCase.SCHEDULING;
	}

	@Override
	public void encode(SchedulingMessage message, Envelope.Builder envelope) {
		envelope.setScheduling(SchedulingEncoder.encode(message));
	}

	@Override
	public SchedulingMessage decode(Envelope envelope) throws MalformedMessageException {
		try {
			return decode(envelope.getScheduling());
		}
		catch (IllegalArgumentException ex) {
			throw MalformedMessageException.of("scheduling message has a value out of range", ex);
		}
	}

	private static SchedulingMessage decode(org.sardineport.wire.message.SchedulingMessage wire) {
		return switch (wire.getBodyCase()) {
			case REQUEST -> request(wire.getRequest());
			case GRANT -> new PermitGrant(id(wire.getGrant().getRequest()), server(wire.getGrant().getBackendServer()),
					Duration.ofMillis(wire.getGrant().getValidMillis()), state(wire.getGrant().getDigest()));
			case QUEUED -> new PermitQueued(id(wire.getQueued().getRequest()),
					server(wire.getQueued().getBackendServer()),
					Duration.ofMillis(wire.getQueued().getExpectedWaitMillis()), state(wire.getQueued().getDigest()));
			case REFUSAL -> refusal(wire.getRefusal());
			case RELEASE -> release(wire.getRelease());
			case WITHDRAWAL -> new PermitWithdrawal(id(wire.getWithdrawal().getRequest()),
					server(wire.getWithdrawal().getBackendServer()));
			case PREEMPTION -> new PermitPreemption(id(wire.getPreemption().getRequest()),
					server(wire.getPreemption().getBackendServer()));
			case RUNNING -> new RunningPermits(server(wire.getRunning().getCompleteForBackendServer()),
					wire.getRunning().getRunningList().stream().map(SchedulingCodec::request).toList());
			case QUOTA_REQUEST -> quotaRequest(wire.getQuotaRequest());
			case QUOTA_SLICE -> new QuotaSlice(OrganisationId.of(wire.getQuotaSlice().getOrganisation()),
					wire.getQuotaSlice().getTokens(), Duration.ofMillis(wire.getQuotaSlice().getValidMillis()),
					wire.getQuotaSlice().getSequence());
			case DIGEST -> new ServerDigest(state(wire.getDigest()));
			case STATED_LIMITS -> statedLimits(wire.getStatedLimits());
			case DELAY_PROBE -> new DelayProbe(wire.getDelayProbe().getSequence());
			case BODY_NOT_SET -> throw new IllegalArgumentException("scheduling message has no body");
		};
	}

	private static RequestId id(String value) {
		return RequestId.of(value);
	}

	private static BackendServerId server(String value) {
		return BackendServerId.of(value);
	}

	private static PermitRequest request(org.sardineport.wire.message.PermitRequest wire) {
		return new PermitRequest(id(wire.getRequest()), server(wire.getBackendServer()), PoolName.of(wire.getPool()),
				OrganisationId.of(wire.getOrganisation()), constant(Tier.values(), wire.getTier()), wire.getRank(),
				TokenEstimate.of(wire.getPromptTokens(), wire.getAnswerTokens()), wire.getPrefixHash(),
				constant(RunningPolicy.values(), wire.getRunningPolicy()),
				Fingerprint.of(wire.getFingerprintHigh(), wire.getFingerprintLow()),
				Duration.ofMillis(wire.getRemainingMillis()), durationOrRemaining(wire, wire.getPromptWithinMillis()),
				durationOrRemaining(wire, wire.getStartWithinMillis()), wire.getMayPreempt());
	}

	private static Duration durationOrRemaining(org.sardineport.wire.message.PermitRequest wire, int millis) {
		return Duration.ofMillis((millis == 0) ? wire.getRemainingMillis() : millis);
	}

	private static QuotaRequest quotaRequest(org.sardineport.wire.message.QuotaRequest wire) {
		OrganisationLimit limit = new OrganisationLimit(wire.getLimitTokensPerSecond(), wire.getLimitBurst(),
				wire.getLimitSlack());
		return new QuotaRequest(OrganisationId.of(wire.getOrganisation()), wire.getTokens(), limit, wire.getSequence());
	}

	private static PermitRefusal refusal(org.sardineport.wire.message.PermitRefusal wire) {
		return new PermitRefusal(id(wire.getRequest()), server(wire.getBackendServer()), denial(wire.getReason()),
				Duration.ofMillis(wire.getRetryAfterMillis()), wire.hasDigest() ? state(wire.getDigest()) : null);
	}

	// A reason of a later build must still refuse. The request is tried elsewhere.
	private static PermitDenial denial(String reason) {
		return Arrays.stream(PermitDenial.values())
			.filter((denial) -> denial.name().equals(reason))
			.findFirst()
			.orElse(PermitDenial.OVERLOADED);
	}

	// An end of a later build must still release, and shows nothing about the server.
	private static RunEnd end(int ordinal) {
		RunEnd[] ends = RunEnd.values();
		return (ordinal >= 0 && ordinal < ends.length) ? ends[ordinal] : RunEnd.CANCELLED;
	}

	private static PermitRelease release(org.sardineport.wire.message.PermitRelease wire) {
		Duration timeToFirstToken = (wire.getFirstTokenMillis() == 0) ? null
				: Duration.ofMillis(wire.getFirstTokenMillis() - 1);
		return new PermitRelease(id(wire.getRequest()), server(wire.getBackendServer()),
				new RunMeasurement(end(wire.getEnd()), wire.getPromptTokens(), wire.getCachedPromptTokens(),
						wire.getAnswerTokens(), timeToFirstToken, Duration.ofMillis(wire.getDurationMillis()),
						wire.hasStatedRequests() ? Math.max(0, wire.getStatedRequests()) : RunMeasurement.NOT_STATED));
	}

	private static ServerState state(org.sardineport.wire.message.ServerDigest wire) {
		return new ServerState(server(wire.getBackendServer()), wire.getRunning(), wire.getWaiting(),
				Math.max(1, wire.getLimit()), wire.getLowerTierRunning(), wire.getIsolated(), wire.getProbeDue(),
				wire.getPrefillBacklogMillis(), wire.getServiceMillis(), new Speed(wire.getPrefillMillisBase(),
						wire.getPrefillMillisPerToken(), wire.getDecodeMillisBase(), wire.getDecodeMillisPerRunning()),
				startRate(wire), requestShare(wire.getWithheldPercent()));
	}

	private static double requestShare(int withheldPercent) {
		int withheld = Math.max(0, Math.min(MAX_WITHHELD_PERCENT, withheldPercent));
		return 1 - withheld / PERCENT;
	}

	private static StartRate startRate(org.sardineport.wire.message.ServerDigest wire) {
		RateLimit limit = wire.hasRequestsPerSecond() ? RateLimit.perSecond(wire.getRequestsPerSecond())
				: RateLimit.NONE;
		return new StartRate(limit, wire.getNextStartMillis());
	}

	private static StatedLimitsReport statedLimits(org.sardineport.wire.message.StatedLimitsReport wire) {
		BackendProcess process = new BackendProcess(server(wire.getBackendServer()),
				Instant.ofEpochMilli(wire.getStartedAtMillis()));
		RateLimit rate = wire.hasRequestsPerSecond() ? RateLimit.perSecond(wire.getRequestsPerSecond())
				: RateLimit.NONE;
		int maxRejections = wire.hasMaxRejections() ? wire.getMaxRejections() : StatedLimits.ANY_REJECTIONS;
		return new StatedLimitsReport(process, new StatedLimits(rate, maxRejections),
				Duration.ofMillis(wire.getAgeMillis()));
	}

	private static <T> T constant(T[] values, int ordinal) {
		if (ordinal < 0 || ordinal >= values.length) {
			throw new IllegalArgumentException(
					"constant must be from 0 to %d, found %d".formatted(values.length - 1, ordinal));
		}
		return values[ordinal];
	}

}
