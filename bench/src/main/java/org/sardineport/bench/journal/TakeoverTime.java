package org.sardineport.bench.journal;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.journal.AcceptDecision;
import org.sardineport.core.journal.DispatchedRun;
import org.sardineport.core.journal.DurableRunner;
import org.sardineport.core.journal.JournalClaim;
import org.sardineport.core.journal.KeyedRequest;
import org.sardineport.settings.MembershipSettings;

/**
 * Time from the failure of a daemon until another daemon has taken over its durable
 * request. The time to detect the failure is not measured but computed from the settings:
 * two probe intervals and two timeouts, for a direct and an indirect probe.
 */
final class TakeoverTime {

	private static final int FAILED_DAEMON = 0;

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private TakeoverTime() {
	}

	static Duration detectionTime() {
		MembershipSettings membership = MembershipSettings.defaults();
		return membership.probeInterval().plus(membership.probeTimeout()).multipliedBy(2);
	}

	// Measures from the moment at which the failure is detected.
	static Duration measure(JournalFleet fleet, int daemons, int round) throws Exception {
		CompletableFuture<Void> takenOver = new CompletableFuture<>();
		for (int number = 1; number < daemons; number++) {
			fleet.journal(number).runner(new TakeoverDetector(takenOver));
		}
		fleet.fleet().set(DaemonId.of("d" + FAILED_DAEMON), MemberStatus.ALIVE);
		AcceptDecision decision = fleet.journal(FAILED_DAEMON)
			.accept(KeyedLoad.request("takeover-" + round, true))
			.toCompletableFuture()
			.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		if (!(decision instanceof AcceptDecision.Accepted)) {
			throw new IllegalStateException("journal did not accept the durable request: " + decision);
		}
		long start = System.nanoTime();
		fleet.fleet().set(DaemonId.of("d" + FAILED_DAEMON), MemberStatus.SUSPECT);
		takenOver.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		return Duration.ofNanos(System.nanoTime() - start);
	}

	/**
	 * Runner that reports a takeover.
	 *
	 * @param takenOver completes when a request is taken over
	 */
	private record TakeoverDetector(CompletableFuture<Void> takenOver) implements DurableRunner {

		@Override
		public void run(KeyedRequest request, JournalClaim claim) {
			this.takenOver.complete(null);
		}

		@Override
		public void resume(DispatchedRun run) {
			throw new IllegalStateException("no request was dispatched, so none can be resumed");
		}

	}

}
