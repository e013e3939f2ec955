package org.sardineport.daemon.fleet;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;

import org.sardineport.core.fleet.BackendDirectory;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.membership.LeavingUpdate;
import org.sardineport.core.membership.MembershipEvent;
import org.sardineport.core.membership.MembershipMessage;
import org.sardineport.core.membership.MembershipOutput;
import org.sardineport.core.membership.StrikeUpdate;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.core.quarantine.Strike;
import org.sardineport.core.quarantine.StrikeReceiver;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Handles the output of the membership protocol: sends its messages, counts and logs its
 * events, and passes received updates to the backend directory and the receiver of
 * strikes.
 */
final class MembershipReporter implements MembershipOutput {

	private static final EventLog LOG = EventLog.of(MembershipReporter.class);

	private final PeerTransport transport;

	private final Telemetry telemetry;

	private final BackendDirectory backends;

	private final InstantSource clock;

	private volatile StrikeReceiver strikeReceiver = StrikeReceiver.NONE;

	MembershipReporter(PeerTransport transport, Telemetry telemetry, BackendDirectory backends, InstantSource clock) {
		this.transport = transport;
		this.telemetry = telemetry;
		this.backends = backends;
		this.clock = clock;
		for (MembershipEvent event : MembershipEvent.values()) {
			telemetry.counter("membership." + event.label());
		}
	}

	void setStrikeReceiver(StrikeReceiver receiver) {
		this.strikeReceiver = receiver;
	}

	@Override
	public void send(NetworkAddress to, MembershipMessage message) {
		this.transport.send(to, message);
	}

	@Override
	public void onEvent(MembershipEvent event, Member member) {
		this.telemetry.counter("membership." + event.label()).inc();
		if (event == MembershipEvent.NAME_IN_USE) {
			LOG.warn("membership.name-in-use", "daemon", member.id(), "remedy",
					"Give each daemon a name of its own, and restart this one.");
		}
		else {
			LOG.info("membership." + event.label(), "daemon", member.id(), "incarnation", member.incarnation(),
					"status", member.status());
		}
	}

	@Override
	public void onStrike(StrikeUpdate strike) {
		Instant expires = this.clock.instant().plus(strike.remaining());
		this.strikeReceiver.strikesReceived(List.of(new Strike(strike.key(), expires)));
	}

	@Override
	public void onBackendLeaving(LeavingUpdate leaving) {
		if (leaving.isProcessKnown()) {
			logNew(leaving, this.backends.recordLeaving(leaving.process()));
		}
		else {
			this.backends.recordLeaving(leaving.process().server(), leaving.age());
		}
	}

	private static void logNew(LeavingUpdate leaving, boolean isNew) {
		if (isNew) {
			LOG.info("backend.leaving", "backend-server", leaving.process().server(), "started-at",
					leaving.process().startedAt(), "source", "another-daemon", "age-ms", leaving.age().toMillis());
		}
	}

}
