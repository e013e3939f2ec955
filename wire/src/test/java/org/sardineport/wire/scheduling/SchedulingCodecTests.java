package org.sardineport.wire.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
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

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class SchedulingCodecTests {

	private static final RequestId REQUEST = RequestId.of("r1");

	private static final BackendServerId SERVER = BackendServerId.of("s1");

	private static final ServerState STATE = new ServerState(SERVER, 3, 2, 8, true, true, true, 17, 900,
			new Speed(40, 0.25, 12.5, 1.5));

	private static final ServerState LIMITED = new ServerState(SERVER, 3, 2, 8, true, true, true, 17, 900,
			new Speed(40, 0.25, 12.5, 1.5), new StartRate(RateLimit.perSecond(0), 1700));

	private static final ServerState BUSY_OWNER = STATE.withRequestShare(0.25);

	private static final BackendProcess PROCESS = new BackendProcess(SERVER, Instant.ofEpochMilli(1234567890123L));

	private static PermitRequest request() {
		return new PermitRequest(REQUEST, SERVER, PoolName.of("model"), OrganisationId.of("o"), Tier.BATCH, 2,
				TokenEstimate.of(12, 34), -5, RunningPolicy.RESUMABLE_ONLY, Fingerprint.of(-1, 7),
				Duration.ofMillis(1234), Duration.ofMillis(345), Duration.ofMillis(567), true);
	}

	static Stream<SchedulingMessage> messages() {
		return Stream.of(request(), new PermitGrant(REQUEST, SERVER, Duration.ofMillis(900), STATE),
				new PermitQueued(REQUEST, SERVER, Duration.ofMillis(70), STATE),
				new PermitRefusal(REQUEST, SERVER, PermitDenial.OVERLOADED, Duration.ofMillis(80), STATE),
				new PermitRefusal(REQUEST, SERVER, PermitDenial.NOT_OWNER, Duration.ZERO, null),
				new PermitRelease(REQUEST, SERVER,
						new RunMeasurement(RunEnd.COMPLETED, 12, 3, 34, Duration.ofMillis(5), Duration.ofMillis(99))),
				new PermitRelease(REQUEST, SERVER,
						new RunMeasurement(RunEnd.COMPLETED, 12, 3, 34, Duration.ZERO, Duration.ofMillis(99))),
				new PermitRelease(REQUEST, SERVER, RunMeasurement.none(RunEnd.UNUSED)),
				new PermitWithdrawal(REQUEST, SERVER), new PermitPreemption(REQUEST, SERVER),
				new RunningPermits(SERVER, List.of(request())), new RunningPermits(SERVER, List.of()),
				new QuotaRequest(OrganisationId.of("o"), 100, new OrganisationLimit(2000, 300, 40), 3),
				new QuotaSlice(OrganisationId.of("o"), 50, Duration.ofSeconds(1), 3), new ServerDigest(STATE),
				new ServerDigest(LIMITED),
				new StatedLimitsReport(PROCESS, new StatedLimits(RateLimit.perSecond(3.1), 5), Duration.ofMillis(7)),
				new StatedLimitsReport(PROCESS, StatedLimits.NONE, Duration.ZERO), new DelayProbe(17),
				new ServerDigest(BUSY_OWNER),
				new PermitRelease(REQUEST, SERVER, RunMeasurement.none(RunEnd.COMPLETED).withStatedRequests(0)),
				new PermitRelease(REQUEST, SERVER, RunMeasurement.none(RunEnd.COMPLETED).withStatedRequests(7)));
	}

	private static Envelope encode(SchedulingMessage message) {
		Envelope.Builder envelope = Envelope.newBuilder();
		SchedulingCodec.create().encode(message, envelope);
		return envelope.build();
	}

	@ParameterizedTest
	@MethodSource("messages")
	void messageSurvivesRoundTrip(SchedulingMessage message) throws MalformedMessageException {
		assertThat(SchedulingCodec.create().decode(encode(message))).isEqualTo(message);
	}

	@Test
	void decodeRejectsMessageWithoutBody() {
		assertThatExceptionOfType(MalformedMessageException.class)
			.isThrownBy(() -> SchedulingCodec.create().decode(Envelope.getDefaultInstance()));
	}

	@Test
	void decodeRejectsUnknownTier() {
		Envelope.Builder envelope = encode(request()).toBuilder();
		var requestWithUnknownTier = envelope.getScheduling().getRequest().toBuilder().setTier(99);
		envelope.setScheduling(envelope.getScheduling().toBuilder().setRequest(requestWithUnknownTier));
		assertThatExceptionOfType(MalformedMessageException.class)
			.isThrownBy(() -> SchedulingCodec.create().decode(envelope.build()))
			.withStackTraceContaining("99");
	}

}
