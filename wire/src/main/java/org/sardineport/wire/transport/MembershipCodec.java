package org.sardineport.wire.transport;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.membership.GossipUpdates;
import org.sardineport.core.membership.IndirectProbeRequest;
import org.sardineport.core.membership.JoinRequest;
import org.sardineport.core.membership.JoinResponse;
import org.sardineport.core.membership.LeavingUpdate;
import org.sardineport.core.membership.MembershipMessage;
import org.sardineport.core.membership.ProbeRequest;
import org.sardineport.core.membership.ProbeResponse;
import org.sardineport.core.membership.StrikeUpdate;
import org.sardineport.core.quarantine.StrikeKey;
import org.sardineport.core.quarantine.Suspect;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.wire.message.Envelope;
import org.sardineport.wire.message.IndirectProbe;
import org.sardineport.wire.message.Join;
import org.sardineport.wire.message.JoinAnswer;
import org.sardineport.wire.message.LeavingBackend;
import org.sardineport.wire.message.MemberState;
import org.sardineport.wire.message.MemberUpdate;
import org.sardineport.wire.message.Probe;
import org.sardineport.wire.message.ProbeAnswer;
import org.sardineport.wire.message.Strike;

/**
 * Codec of the membership messages. Fields of a member that equal those of the envelope's
 * sender are omitted, which keeps frames small. Thread-safe.
 */
public final class MembershipCodec implements PeerCodec<MembershipMessage> {

	private MembershipCodec() {
	}

	/**
	 * Creates a codec.
	 * @return the codec, which has no state
	 */
	public static MembershipCodec create() {
		return new MembershipCodec();
	}

	@Override
	public Class<MembershipMessage> type() {
		return MembershipMessage.class;
	}

	@Override
	public Envelope.BodyCase bodyCase() {
		return Envelope.BodyCase.MEMBERSHIP;
	}

	@Override
	public void encode(MembershipMessage message, Envelope.Builder envelope) {
		org.sardineport.wire.message.MembershipMessage.Builder body = org.sardineport.wire.message.MembershipMessage
			.newBuilder();
		encodeUpdates(message.updates(), envelope, body);
		if (message instanceof ProbeRequest probe) {
			body.setProbe(Probe.newBuilder().setSequence(probe.sequence()));
		}
		else if (message instanceof ProbeResponse answer) {
			body.setAnswer(ProbeAnswer.newBuilder().setSequence(answer.sequence()));
		}
		else if (message instanceof IndirectProbeRequest indirect) {
			body.setIndirect(IndirectProbe.newBuilder()
				.setSequence(indirect.sequence())
				.setTarget(indirect.target().value())
				.setTargetIp(indirect.targetAddress().ip())
				.setTargetPort(indirect.targetAddress().port()));
		}
		else if (message instanceof JoinRequest join) {
			body.setJoin(Join.newBuilder().setComplete(join.complete()));
		}
		else {
			body.setJoinAnswer(JoinAnswer.getDefaultInstance());
		}
		envelope.setMembership(body);
	}

	@Override
	public MembershipMessage decode(Envelope envelope) throws MalformedMessageException {
		org.sardineport.wire.message.MembershipMessage body = envelope.getMembership();
		GossipUpdates updates = decodeUpdates(envelope, body);
		return switch (body.getBodyCase()) {
			case PROBE -> new ProbeRequest(body.getProbe().getSequence(), updates);
			case ANSWER -> new ProbeResponse(body.getAnswer().getSequence(), updates);
			case INDIRECT -> decodeIndirect(body.getIndirect(), updates);
			case JOIN -> new JoinRequest(body.getJoin().getComplete(), updates);
			case JOIN_ANSWER -> new JoinResponse(updates);
			case BODY_NOT_SET -> throw MalformedMessageException.of("membership message without a body");
		};
	}

	private static IndirectProbeRequest decodeIndirect(IndirectProbe probe, GossipUpdates updates) {
		return new IndirectProbeRequest(probe.getSequence(), DaemonId.of(probe.getTarget()),
				NetworkAddress.of(probe.getTargetIp(), probe.getTargetPort()), updates);
	}

	private static void encodeUpdates(GossipUpdates updates, Envelope.Builder envelope,
			org.sardineport.wire.message.MembershipMessage.Builder body) {
		updates.members().forEach((member) -> body.addUpdates(encodeMember(member, envelope)));
		updates.strikes().forEach((strike) -> body.addStrikes(encodeStrike(strike)));
		updates.leavingBackends().forEach((leaving) -> body.addLeavingBackends(encodeLeaving(leaving)));
	}

	private static GossipUpdates decodeUpdates(Envelope envelope, org.sardineport.wire.message.MembershipMessage body)
			throws MalformedMessageException {
		List<Member> members = new ArrayList<>(body.getUpdatesCount());
		for (MemberUpdate update : body.getUpdatesList()) {
			// A state of a later build says nothing here, but the rest of the message
			// does.
			if (update.getState() != MemberState.UNRECOGNIZED) {
				members.add(decodeMember(update, envelope));
			}
		}
		return new GossipUpdates(members, body.getStrikesList().stream().map(MembershipCodec::decodeStrike).toList(),
				body.getLeavingBackendsList().stream().map(MembershipCodec::decodeLeaving).toList());
	}

	private static MemberUpdate encodeMember(Member member, Envelope.Builder envelope) {
		MemberUpdate.Builder update = MemberUpdate.newBuilder()
			.setIncarnation(member.incarnation())
			.setState(encodeStatus(member.status()))
			.setFailureDomain(member.failureDomain().value())
			.setCallerPort(member.callerAddress().port())
			.setConfigurationVersion(member.configurationVersion())
			.setLoadPercent(member.load())
			.setLatenessMillis(Math.toIntExact(member.lateness().toMillis()))
			.setProcessorPercent(member.processorPercent());
		if (!member.id().value().equals(envelope.getSender())) {
			update.setDaemon(member.id().value());
		}
		if (!member.peerAddress().ip().equals(envelope.getSenderIp())
				|| member.peerAddress().port() != envelope.getSenderPort()) {
			update.setPeerIp(member.peerAddress().ip()).setPeerPort(member.peerAddress().port());
		}
		if (!member.callerAddress().ip().equals(member.peerAddress().ip())) {
			update.setCallerIp(member.callerAddress().ip());
		}
		return update.build();
	}

	private static Member decodeMember(MemberUpdate update, Envelope envelope) throws MalformedMessageException {
		String id = (update.getDaemon().isEmpty()) ? envelope.getSender() : update.getDaemon();
		NetworkAddress peer = (update.getPeerIp().isEmpty())
				? NetworkAddress.of(envelope.getSenderIp(), envelope.getSenderPort())
				: NetworkAddress.of(update.getPeerIp(), update.getPeerPort());
		String callerIp = (update.getCallerIp().isEmpty()) ? peer.ip() : update.getCallerIp();
		return new Member(DaemonId.of(id), update.getIncarnation(), decodeStatus(update.getState()),
				FailureDomain.of(update.getFailureDomain()), peer, NetworkAddress.of(callerIp, update.getCallerPort()),
				update.getConfigurationVersion(), update.getLoadPercent(), decodeLateness(update),
				Math.max(0, update.getProcessorPercent()));
	}

	private static Duration decodeLateness(MemberUpdate update) {
		int millis = update.getLatenessMillis();
		boolean isInRange = millis >= 0 && millis <= Member.MAXIMUM_LATENESS.toMillis();
		return isInRange ? Duration.ofMillis(millis) : Member.MAXIMUM_LATENESS;
	}

	private static MemberState encodeStatus(MemberStatus status) {
		return switch (status) {
			case ALIVE -> MemberState.MEMBER_STATE_ALIVE;
			case SUSPECT -> MemberState.MEMBER_STATE_SUSPECT;
			case LEAVING -> MemberState.MEMBER_STATE_LEAVING;
			case DEAD -> MemberState.MEMBER_STATE_DEAD;
		};
	}

	private static MemberStatus decodeStatus(MemberState state) throws MalformedMessageException {
		return switch (state) {
			case MEMBER_STATE_ALIVE -> MemberStatus.ALIVE;
			case MEMBER_STATE_SUSPECT -> MemberStatus.SUSPECT;
			case MEMBER_STATE_LEAVING -> MemberStatus.LEAVING;
			case MEMBER_STATE_DEAD -> MemberStatus.DEAD;
			case MEMBER_STATE_UNSPECIFIED, UNRECOGNIZED ->
				throw MalformedMessageException.of("unknown member state %s".formatted(state));
		};
	}

	private static Strike encodeStrike(StrikeUpdate strike) {
		return Strike.newBuilder()
			.setPromptPart(strike.key().suspect().isPromptPart())
			.setFingerprintHigh(strike.key().suspect().fingerprint().high())
			.setFingerprintLow(strike.key().suspect().fingerprint().low())
			.setBackendServer(strike.key().process().server().value())
			.setStartedAtMillis(strike.key().process().startedAt().toEpochMilli())
			.setRemainingMillis((int) Math.min(strike.remaining().toMillis(), Integer.MAX_VALUE))
			.build();
	}

	private static StrikeUpdate decodeStrike(Strike strike) {
		BackendProcess process = new BackendProcess(BackendServerId.of(strike.getBackendServer()),
				Instant.ofEpochMilli(strike.getStartedAtMillis()));
		Fingerprint fingerprint = Fingerprint.of(strike.getFingerprintHigh(), strike.getFingerprintLow());
		Suspect suspect = strike.getPromptPart() ? Suspect.promptPart(fingerprint) : Suspect.request(fingerprint);
		return new StrikeUpdate(new StrikeKey(suspect, process), Duration.ofMillis(strike.getRemainingMillis()));
	}

	private static LeavingBackend encodeLeaving(LeavingUpdate leaving) {
		return LeavingBackend.newBuilder()
			.setBackendServer(leaving.process().server().value())
			.setStartedAtMillis(leaving.process().startedAt().toEpochMilli())
			.setAgeMillis((int) Math.min(leaving.age().toMillis(), Integer.MAX_VALUE))
			.build();
	}

	private static LeavingUpdate decodeLeaving(LeavingBackend leaving) {
		BackendProcess process = new BackendProcess(BackendServerId.of(leaving.getBackendServer()),
				Instant.ofEpochMilli(leaving.getStartedAtMillis()));
		return new LeavingUpdate(process, Duration.ofMillis(leaving.getAgeMillis()));
	}

}
